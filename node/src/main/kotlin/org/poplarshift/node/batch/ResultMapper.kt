package org.poplarshift.node.batch

import org.poplarshift.core.batch.BatchItem
import org.poplarshift.core.batch.BatchRun
import org.poplarshift.core.batch.ItemOutcome
import org.poplarshift.core.batch.ItemResult
import org.poplarshift.core.batch.RunOutcome
import org.poplarshift.core.verdict.RefusalReason
import org.poplarshift.core.verdict.RunStatus

/** Turns the ends of runs into results. */
object ResultMapper {
    /** The result of a run, or null when the item has none yet. */
    fun map(run: BatchRun, ended: EndedRun, outcome: RunOutcome): ItemResult? = when (outcome) {
        is RunOutcome.Done ->
            ItemResult(run.item, ended.itemId, ItemOutcome.DONE, RunStatus.RAN, outcome.status, ended.body)
        is RunOutcome.Failed -> ItemResult(
            item = run.item,
            id = ended.itemId,
            outcome = ItemOutcome.FAILED,
            ran = if (ended.reason == null) outcome.ran else RunStatus.MAY_HAVE_RUN,
            status = outcome.status.takeIf { ended.reason == null },
            body = ended.body,
            reason = ended.reason ?: outcome.reason,
        )
        is RunOutcome.Retry, RunOutcome.Dropped -> null
    }

    /** The result of the non-idempotent [item] that was started before, without a recorded result. */
    fun lost(item: BatchItem) = ItemResult(
        item = item.index,
        id = item.id,
        outcome = ItemOutcome.FAILED,
        ran = RunStatus.MAY_HAVE_RUN,
        reason = RefusalReason.OUTCOME_UNKNOWN,
    )
}
