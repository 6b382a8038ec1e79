package org.poplarshift.node.batch

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.poplarshift.core.batch.BatchRecord
import org.poplarshift.core.batch.CarryPlanner
import org.poplarshift.core.batch.ChunkReference
import org.poplarshift.core.batch.JobSnapshot
import org.poplarshift.core.batch.JobState
import org.poplarshift.core.batch.SegmentReference
import org.poplarshift.core.ownership.Slot
import org.poplarshift.node.NodeContext
import org.poplarshift.node.NodePart
import org.poplarshift.node.WallClock
import org.poplarshift.node.log.WriteResult
import kotlin.time.Duration.Companion.hours

/**
 * Re-appends the open items, the results and a snapshot of each job of this node's slots before log retention removes
 * the original records.
 */
class CarryWriter(
    private val context: NodeContext,
    private val batchLog: BatchLog,
    private val bodies: BatchBodies,
    private val results: ResultSender,
    private val slots: () -> Set<Slot>,
    private val wallClock: WallClock = WallClock.SYSTEM,
    private val periodMillis: Long = 60_000,
) : NodePart {
    private val planner = CarryPlanner(context.settings.platform.logRetentionHours.hours.inWholeMilliseconds / 2)

    override suspend fun start() {
        context.scope.launch {
            while (isActive) {
                delay(periodMillis)
                batchLog.removeExpired()
                planner.due(batchLog.index, slots(), wallClock.millis()).map { it.uploadId }.forEach { carry(it) }
            }
        }
    }

    private suspend fun carry(uploadId: String) {
        if (!results.hold(uploadId)) return
        try {
            val isCarried = batchLog.catchUp() && batchLog.index.findUpload(uploadId)?.let { append(it) } ?: false
            if (!isCarried) log.warn { "batch: could not re-append the records of job $uploadId; retrying later" }
        } finally {
            results.release(uploadId)
        }
    }

    private suspend fun append(job: JobState): Boolean {
        val through = batchLog.index.nextOffset - 1
        val snapshot = job.snapshot(emptyList(), emptyList())
        val open = (0 until job.chunkCount).map { job.chunk(it) to job.hasOpenItems(it) }
        val recorded = (0 until job.segmentCount).map { job.segment(it) }
        val chunks = open.mapIndexed { number, (chunk, isOpen) ->
            if (isOpen) items(snapshot, number, chunk) ?: return false else chunk
        }
        val segments = recorded.mapIndexed { number, segment -> results(job, number, segment) ?: return false }
        val moved = snapshot.copy(accepted = snapshot.accepted.copy(chunks = chunks), segments = segments)
        val offset = write(BatchRecord.JobCarried(moved, through, wallClock.millis())) ?: return false
        return batchLog.awaitApplied(offset) && batchLog.index.findUpload(job.uploadId)?.anchorOffset == through + 1
    }

    private suspend fun items(snapshot: JobSnapshot, number: Int, chunk: ChunkReference): ChunkReference? {
        val original = batchLog.read(chunk.offset) as? BatchRecord.ItemsUploaded ?: return null
        val ended = snapshot.ended
        val live = original.items.filter { ended == null || it.index !in ended }
        val copy = BatchRecord.ItemsUploaded(original.uploadId, number, live, carried = true)
        return write(copy)?.let { chunk.copy(offset = it) }
    }

    private suspend fun results(job: JobState, number: Int, segment: SegmentReference): SegmentReference? {
        val valid = bodies.results(job, number) ?: return null
        val copy = BatchRecord.ResultsRecorded(job.uploadId, valid, wallClock.millis(), carried = true)
        return write(copy)?.let { segment.copy(offset = it, dropped = emptyList()) }
    }

    private suspend fun write(record: BatchRecord): Long? =
        (batchLog.writer.write(record, APPEND_TIMEOUT_MILLIS) as? WriteResult.Written)?.offset

    private companion object {
        val log = KotlinLogging.logger {}
        const val APPEND_TIMEOUT_MILLIS = 10_000L
    }
}
