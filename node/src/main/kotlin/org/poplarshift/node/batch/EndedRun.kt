package org.poplarshift.node.batch

import kotlinx.serialization.json.JsonElement
import org.poplarshift.core.verdict.RefusalReason
import org.poplarshift.core.verdict.Verdict

/**
 * The outcome of a run.
 *
 * @property verdict null when the run was abandoned, which does not count as an attempt
 * @property reason set when the item must not run again
 */
data class EndedRun(
    val verdict: Verdict?,
    val itemId: String = "",
    val body: JsonElement? = null,
    val reason: RefusalReason? = null,
)
