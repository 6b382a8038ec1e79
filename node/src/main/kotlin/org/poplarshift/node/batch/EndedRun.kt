package org.poplarshift.node.batch

import kotlinx.serialization.json.JsonElement
import org.poplarshift.core.verdict.RefusalReason
import org.poplarshift.core.verdict.Verdict

/**
 * How a run ended.
 *
 * @property verdict null when the run was given up and the attempt does not count
 * @property reason set when the item may never run again
 */
data class EndedRun(
    val verdict: Verdict?,
    val itemId: String = "",
    val body: JsonElement? = null,
    val reason: RefusalReason? = null,
)
