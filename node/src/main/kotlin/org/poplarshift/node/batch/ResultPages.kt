package org.poplarshift.node.batch

import io.vertx.core.http.HttpServerResponse
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.flow.first
import org.poplarshift.core.batch.ItemResult
import org.poplarshift.core.batch.JobKey
import org.poplarshift.core.batch.JobPhase
import org.poplarshift.core.batch.JobState
import org.poplarshift.core.verdict.RefusalReason
import org.poplarshift.core.verdict.RunStatus
import org.poplarshift.node.http.ErrorResponse

/**
 * Writes the results of a job in the order in which they were recorded. The order is the same at every node, so a
 * caller can resume at any node from the number of lines that it has received.
 */
class ResultPages(private val batchLog: BatchLog, private val bodies: BatchBodies) {
    /**
     * Writes results of the job [key], starting at position [from]: at most [limit], or all until the job ends when
     * [follow] is true. On failure it returns an error if nothing was written, and resets the response otherwise.
     */
    suspend fun write(
        response: HttpServerResponse,
        key: JobKey,
        from: Int,
        limit: Int,
        follow: Boolean,
    ): ErrorResponse? {
        var position = from
        while (true) {
            val seen = batchLog.nextOffset.value
            val job = batchLog.index.find(key) ?: return fail(response)
            val end = if (follow) job.resultCount else minOf(job.resultCount.toLong(), from.toLong() + limit).toInt()
            position = writeTo(response, job, position, end) ?: return fail(response)
            begin(response)
            if (!follow || isOver(key, position)) return finish(response)
            batchLog.nextOffset.first { it != seen }
        }
    }

    private suspend fun writeTo(response: HttpServerResponse, job: JobState, from: Int, end: Int): Int? {
        var position = from
        while (position < end) {
            val results = page(job, position, end) ?: return null
            begin(response)
            response.write(results.joinToString("", transform = ResultLine::encode)).coAwait()
            position += results.size
        }
        return position
    }

    private suspend fun finish(response: HttpServerResponse): ErrorResponse? {
        response.end().coAwait()
        return null
    }

    private fun isOver(key: JobKey, position: Int): Boolean {
        val job = batchLog.index.find(key) ?: return true
        return job.phase != JobPhase.RUNNING && position >= job.resultCount
    }

    private suspend fun page(job: JobState, position: Int, end: Int): List<ItemResult>? {
        val segment = job.segmentOf(position)
        val results = bodies.results(job, segment) ?: return null
        val skipped = position - job.segment(segment).first
        return results.drop(skipped).take(end - position).ifEmpty { null }
    }

    private fun begin(response: HttpServerResponse) {
        if (response.headWritten()) return
        response.putHeader("Content-Type", "application/jsonl")
        response.setChunked(true)
        response.writeHead()
    }

    private fun fail(response: HttpServerResponse): ErrorResponse? {
        if (!response.headWritten()) {
            return ErrorResponse(RefusalReason.LOG_UNAVAILABLE, "the results can't be read now", RunStatus.NOT_RUN)
        }
        // Omitting the final chunk lets the caller detect that the response is incomplete.
        response.reset()
        return null
    }
}
