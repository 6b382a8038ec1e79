package org.poplarshift.core.batch

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement
import org.poplarshift.core.verdict.RefusalReason
import org.poplarshift.core.verdict.RunStatus

/**
 * How an item ended.
 *
 * @property item the index of the item in its job
 * @property status the HTTP status of the upstream's answer, or null when no answer came
 * @property body the upstream's answer; text that is not JSON is kept as a JSON string
 * @property reason why the item failed, or null when it is done
 */
@Serializable
data class ItemResult(
    val item: Int,
    val id: String,
    val outcome: ItemOutcome,
    val ran: RunStatus,
    val status: Int? = null,
    val body: JsonElement? = null,
    val reason: RefusalReason? = null,
)
