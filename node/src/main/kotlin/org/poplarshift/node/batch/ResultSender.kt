package org.poplarshift.node.batch

import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.poplarshift.core.batch.BatchRecord
import org.poplarshift.core.batch.ItemResult
import org.poplarshift.core.batch.ResultBuffer
import org.poplarshift.node.NodeContext
import org.poplarshift.node.NodePart
import org.poplarshift.node.WallClock
import org.poplarshift.node.log.StreamWriter

/**
 * Appends results in batches per job. Results are buffered while the log is unavailable, including those of jobs that
 * have moved to another holder. This is safe because the first result of an item wins, whichever node appends it.
 */
class ResultSender(
    private val context: NodeContext,
    private val batchLog: BatchLog,
    private val wallClock: WallClock = WallClock.SYSTEM,
) : NodePart {
    private val buffers = LinkedHashMap<String, ResultBuffer>()
    private val sending = HashSet<String>()
    private val held = HashSet<String>()
    private var bufferedBytes = 0L

    /** Whether too many results are buffered to start further items. */
    val isFull: Boolean
        get() = bufferedBytes > MAXIMUM_BUFFERED_BYTES

    override suspend fun start() {
        context.scope.launch {
            while (isActive) {
                delay(TICK_MILLIS)
                sendDue()
            }
        }
    }

    override suspend fun stop() {
        while (buffers.values.any { it.size > 0 } || sending.isNotEmpty()) {
            sendDue()
            delay(TICK_MILLIS)
        }
    }

    /** Adds the result of an item of the job [uploadId]. */
    fun add(uploadId: String, result: ItemResult) {
        val bytes = BASE_BYTES + (result.body?.toString()?.length ?: 0)
        bufferedBytes += bytes
        buffers.getOrPut(uploadId) { ResultBuffer(uploadId) }.add(result, bytes, context.clock.millis())
    }

    /** Suspends appends for the job [uploadId] until [release]. Returns false while an append for it is in flight. */
    fun hold(uploadId: String): Boolean {
        if (uploadId in sending) return false
        held += uploadId
        return true
    }

    /** Whether appends for the job [uploadId] are suspended. */
    fun isHeld(uploadId: String): Boolean = uploadId in held

    /** Resumes the appends that [hold] suspended. */
    fun release(uploadId: String) {
        held -= uploadId
    }

    private fun sendDue() {
        val now = context.clock.millis()
        val due = buffers.values.filter { buffer -> buffer.dueMillis()?.let { it <= now } ?: false }
        due.filterNot { it.uploadId in sending || it.uploadId in held }
            .take(MAXIMUM_APPENDS - sending.size)
            .forEach(::send)
        buffers.values.removeIf { it.size == 0 && it.uploadId !in sending }
    }

    private fun send(buffer: ResultBuffer) {
        sending += buffer.uploadId
        context.scope.launch {
            try {
                val results = buffer.take()
                val record = BatchRecord.ResultsRecorded(buffer.uploadId, results, wallClock.millis())
                batchLog.writer.write(record, StreamWriter.NO_TIMEOUT, retryRefused = true)
                bufferedBytes -= results.sumOf { BASE_BYTES + (it.body?.toString()?.length ?: 0) }
            } finally {
                sending -= buffer.uploadId
            }
        }
    }

    private companion object {
        const val TICK_MILLIS = 20L
        const val BASE_BYTES = 150
        const val MAXIMUM_APPENDS = 8

        // An eighth of the heap. Beyond it, items that already run still end and their results are buffered.
        const val MAXIMUM_BUFFERED_BYTES = 32L * 1024 * 1024
    }
}
