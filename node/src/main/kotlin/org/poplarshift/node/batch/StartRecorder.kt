package org.poplarshift.node.batch

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import org.poplarshift.core.batch.BatchRecord
import org.poplarshift.core.batch.BatchRun
import org.poplarshift.node.log.GroupCommit
import org.poplarshift.node.log.WriteResult

/**
 * Records the start of non-idempotent items before they are sent. Concurrent starts of one job share an append.
 */
class StartRecorder(
    private val scope: CoroutineScope,
    private val batchLog: BatchLog,
    private val isHeld: (uploadId: String) -> Boolean,
) {
    private val commits = HashMap<Pair<String, String>, GroupCommit<Int>>()

    /** Records that [holder] starts the item of [run], reads it back and returns whether it came first. */
    suspend fun start(run: BatchRun, holder: String): StartResult {
        val known = starterOf(run)
        if (known != null) return if (known == holder) StartResult.Started else StartResult.StartedBefore
        while (isHeld(run.uploadId)) delay(HOLD_POLL_MILLIS)
        val written = commitOf(run.uploadId, holder).submit(run.item)
        // If the append takes effect later, the start belongs to this holder, so its next attempt may send the item.
        if (written !is WriteResult.Written || !batchLog.awaitApplied(written.offset)) return StartResult.LogUnavailable
        return when (starterOf(run)) {
            holder -> StartResult.Started
            null -> StartResult.Ended
            else -> StartResult.StartedBefore
        }
    }

    private fun starterOf(run: BatchRun): String? = batchLog.index.findUpload(run.uploadId)?.starterOf(run.item)

    private fun commitOf(uploadId: String, holder: String): GroupCommit<Int> {
        if (commits.size > MAXIMUM_COMMITS) commits.clear()
        return commits.getOrPut(uploadId to holder) {
            GroupCommit(scope) { items ->
                batchLog.writer.write(BatchRecord.ItemsStarted(uploadId, items, holder), APPEND_TIMEOUT_MILLIS)
            }
        }
    }

    private companion object {
        const val APPEND_TIMEOUT_MILLIS = 5_000L
        const val HOLD_POLL_MILLIS = 20L
        const val MAXIMUM_COMMITS = 1_000
    }
}
