package org.poplarshift.node.batch

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement

/**
 * One line of an upload.
 *
 * @property path required for services; derived from the body for models when absent
 */
@Serializable
data class UploadLine(val id: String, val body: JsonElement, val path: String? = null)
