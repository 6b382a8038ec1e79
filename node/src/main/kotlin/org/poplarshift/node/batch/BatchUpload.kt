package org.poplarshift.node.batch

import org.poplarshift.core.batch.BatchIndex
import org.poplarshift.core.batch.BatchItem
import org.poplarshift.core.batch.BatchRecord
import org.poplarshift.core.batch.ChunkReference
import org.poplarshift.core.batch.HomeSlot
import org.poplarshift.core.batch.JobKey
import org.poplarshift.core.batch.JobState
import org.poplarshift.core.batch.UploadChunker
import org.poplarshift.core.catalogue.Catalogue
import org.poplarshift.core.verdict.RefusalReason
import org.poplarshift.core.verdict.RunStatus
import org.poplarshift.node.WallClock
import org.poplarshift.node.http.ErrorResponse
import org.poplarshift.node.log.WriteResult
import java.util.UUID
import kotlin.time.Duration.Companion.hours

/** Appends the items of one upload to the log in chunks and then records the job as accepted. */
class BatchUpload(
    private val batchLog: BatchLog,
    private val key: JobKey,
    private val catalogue: Catalogue,
    private val content: UploadContent,
    private val wallClock: WallClock,
) {
    private val uploadId = UUID.randomUUID().toString()
    private val chunker = UploadChunker()
    private val chunks = mutableListOf<ChunkReference>()
    private var refusal: ErrorResponse? = null

    /** Reads all [lines] and accepts or refuses the job. */
    suspend fun run(lines: LineReader): UploadResult {
        val isKnown = knownJob() != null
        while (true) {
            when (val line = lines.next()) {
                is LineResult.Line -> if (isKnown) content.digestOnly(line.text) else accept(line.text)
                LineResult.End -> break
                LineResult.LineTooLong -> refuse(
                    RefusalReason.BODY_TOO_LARGE,
                    "line ${content.itemCount + 1} is too long",
                )
                LineResult.BodyTooLong -> refuse(RefusalReason.BODY_TOO_LARGE, "the body is too long")
                LineResult.Stalled -> refuse(RefusalReason.BAD_REQUEST, "the body did not arrive in time")
            }
            refusal?.let { return UploadResult.Refused(it) }
        }
        return finish()
    }

    private suspend fun accept(line: String) {
        when (val result = content.accept(line)) {
            is ContentResult.Item -> chunker.add(result.item, line.length)?.let { store(it) }
            is ContentResult.Invalid -> refuse(RefusalReason.BAD_REQUEST, result.message)
            is ContentResult.Forbidden -> refuse(RefusalReason.FORBIDDEN_ROUTE, result.message)
            is ContentResult.TooMany -> refuse(RefusalReason.BODY_TOO_LARGE, result.message)
        }
    }

    private suspend fun store(items: List<BatchItem>) {
        val record = BatchRecord.ItemsUploaded(uploadId, chunks.size, items)
        when (val written = batchLog.writer.write(record, APPEND_TIMEOUT_MILLIS)) {
            is WriteResult.Written -> chunks += ChunkReference(written.offset, items.first().index)
            // Items without a JobAccepted record do not belong to a job and never run.
            else -> refuse(RefusalReason.LOG_UNAVAILABLE, "the items can't be stored")
        }
    }

    private suspend fun finish(): UploadResult {
        val earlier = knownJob()
        if (earlier != null) return compare(earlier)
        val upstream = content.upstream ?: return refused(RefusalReason.BAD_REQUEST, "a job needs at least one item")
        store(chunker.take())
        refusal?.let { return UploadResult.Refused(it) }
        // The index must contain all jobs accepted before these items, see JobAccepted.through.
        if (!batchLog.awaitApplied(chunks.last().offset)) {
            return refused(RefusalReason.LOG_UNAVAILABLE, "the log can't be read")
        }
        val concurrent = knownJob()
        if (concurrent != null) return compare(concurrent)
        return accepted(upstream.id)
    }

    private suspend fun accepted(upstream: String): UploadResult {
        val digest = content.digest()
        val record = BatchRecord.JobAccepted(
            uploadId = uploadId,
            organisation = key.organisation,
            jobId = key.jobId,
            digest = digest,
            itemCount = content.itemCount,
            slot = HomeSlot.of(catalogue, key),
            upstream = upstream,
            idempotent = content.isIdempotent,
            chunks = chunks,
            acceptedAtMillis = wallClock.millis(),
            readableMillis = catalogue.batch.resultRetentionHours.hours.inWholeMilliseconds,
            through = batchLog.index.nextOffset - 1,
        )
        val written = batchLog.writer.write(record, APPEND_TIMEOUT_MILLIS)
        if (written is WriteResult.NotWritten) return refused(RefusalReason.LOG_UNAVAILABLE, "the job can't be stored")
        val isApplied = written is WriteResult.Written && batchLog.awaitApplied(written.offset)
        val job = knownJob()
        if (!isApplied || job == null) {
            val message = "whether the job was accepted is not known yet; send it again"
            return refused(RefusalReason.LOG_UNAVAILABLE, message, RunStatus.MAY_HAVE_RUN)
        }
        return if (job.uploadId == uploadId) UploadResult.Accepted(job, isNew = true) else match(job, digest)
    }

    private fun knownJob(): JobState? =
        batchLog.index.find(key)?.takeUnless { BatchIndex.isExpired(it, wallClock.millis()) }

    private fun compare(earlier: JobState): UploadResult = match(earlier, content.digest())

    private fun match(earlier: JobState, digest: String): UploadResult = if (earlier.digest == digest) {
        UploadResult.Accepted(earlier, isNew = false)
    } else {
        refused(RefusalReason.JOB_CONFLICT, "another job with this identifier was accepted before")
    }

    private fun refuse(reason: RefusalReason, message: String) {
        refusal = ErrorResponse(reason, message, RunStatus.NOT_RUN)
    }

    private fun refused(reason: RefusalReason, message: String, ran: RunStatus = RunStatus.NOT_RUN) =
        UploadResult.Refused(ErrorResponse(reason, message, ran))

    private companion object {
        const val APPEND_TIMEOUT_MILLIS = 5_000L
    }
}
