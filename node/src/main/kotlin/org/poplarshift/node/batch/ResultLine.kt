package org.poplarshift.node.batch

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement
import org.poplarshift.core.batch.ItemOutcome
import org.poplarshift.core.batch.ItemResult
import org.poplarshift.core.verdict.RunStatus
import org.poplarshift.wire.WireJson

/**
 * One line of the results.
 *
 * @property status the HTTP status of the upstream, or null when no answer came
 * @property reason why the item failed, as in error bodies, or null when it is done
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
        /** [result] as JSON with a line end. */
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
