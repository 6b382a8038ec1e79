package org.poplarshift.core.batch

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement

/**
 * One line of an upload.
 *
 * @property index the position in the job, from 0
 * @property id the identifier from the caller, unique within the job
 * @property path the request path at a plain service, or null for the completions path of a model engine
 */
@Serializable
data class BatchItem(val index: Int, val id: String, val body: JsonElement, val path: String? = null)
