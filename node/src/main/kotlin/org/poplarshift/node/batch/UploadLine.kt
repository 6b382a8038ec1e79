package org.poplarshift.node.batch

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement

/**
 * One line of an upload as the caller sends it.
 *
 * @property path needed for plain services; for models it is found from the body when absent
 */
@Serializable
data class UploadLine(val id: String, val body: JsonElement, val path: String? = null)
