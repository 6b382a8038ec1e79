package org.poplarshift.node.batch

import org.poplarshift.core.batch.BatchItem
import org.poplarshift.core.batch.BatchRun
import org.poplarshift.core.batch.ItemOutcome
import org.poplarshift.core.batch.ItemResult
import org.poplarshift.core.batch.RunOutcome
import org.poplarshift.core.verdict.RefusalReason
import org.poplarshift.core.verdict.RunStatus

/** Maps ended runs to item results. */
object ResultMapper {
    /** Returns the result of a run, or null when the item has no result yet. */
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

    /** Returns the failure of a non-idempotent [item] that was started before and has no recorded result. */
    fun lost(item: BatchItem) = ItemResult(
        item = item.index,
        id = item.id,
        outcome = ItemOutcome.FAILED,
        ran = RunStatus.MAY_HAVE_RUN,
        reason = RefusalReason.OUTCOME_UNKNOWN,
    )
}
