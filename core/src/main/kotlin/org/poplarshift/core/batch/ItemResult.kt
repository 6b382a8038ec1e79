package org.poplarshift.core.batch

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement
import org.poplarshift.core.verdict.RefusalReason
import org.poplarshift.core.verdict.RunStatus

/**
 * The result of an item.
 *
 * @property item the index of the item in its job
 * @property status the HTTP status of the upstream's response, or null without a response
 * @property body the body of the upstream's response; text that is not JSON is stored as a JSON string
 * @property reason why the item failed, or null if it succeeded
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
