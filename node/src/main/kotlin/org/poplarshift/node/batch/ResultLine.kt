package org.poplarshift.node.batch

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement
import org.poplarshift.core.batch.ItemOutcome
import org.poplarshift.core.batch.ItemResult
import org.poplarshift.core.verdict.RunStatus
import org.poplarshift.wire.WireJson

/**
 * One line of the results response.
 *
 * @property status the HTTP status from the upstream, or null without a response
 * @property reason the code of the failure as in error bodies, or null when the item succeeded
 */
@Serializable
data class ResultLine(
    val id: String,
    val outcome: ItemOutcome,
    val ran: RunStatus,
    val status: Int?,
    val body: JsonElement?,
    val reason: String?,
) {
    companion object {
        /** Encodes [result] as JSON with a trailing newline. */
        fun encode(result: ItemResult): String {
            val line = ResultLine(
                id = result.id,
                outcome = result.outcome,
                ran = result.ran,
                status = result.status,
                body = result.body,
                reason = result.reason?.code,
            )
            return WireJson.strict.encodeToString(serializer(), line) + "\n"
        }
    }
}
