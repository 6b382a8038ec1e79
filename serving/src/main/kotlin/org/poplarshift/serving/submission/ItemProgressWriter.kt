package org.poplarshift.serving.submission

import io.github.oshai.kotlinlogging.KotlinLogging
import org.poplarshift.core.submission.SubmissionRecord
import org.poplarshift.serving.MonotonicClock

/** Saves the output of unfinished runs of an item in the log, so that another node can resume them. */
class ItemProgressWriter(
    private val partition: SubmissionPartition,
    private val submission: String,
    private val item: String,
    private val clock: MonotonicClock,
) {
    private var lastSaveMillis = clock.millis()

    /** Records that a worker has begun to respond. */
    fun onResponse() {
        lastSaveMillis = clock.millis()
    }

    /** Saves [output], unless it is short. */
    suspend fun save(output: ItemOutput) {
        val record = record(output) ?: return
        if (output.resumableLength < MINIMUM_UNSAVED_LENGTH) return
        val result = partition.write(record, output.encodeResumable())
        logger.atInfo {
            message = "batch: progress of an item saved"
            payload = mapOf(
                "submission" to submission,
                "item" to item,
                "event" to record.lastEvent,
                "result" to result.toString(),
            )
        }
    }

    /** Saves [output] without waiting, unless that was done a short time ago. A process that is killed loses the rest. */
    fun savePeriodically(output: ItemOutput) {
        val now = clock.millis()
        if (now - lastSaveMillis < SAVE_INTERVAL_MILLIS ||
            output.resumableLength - output.savedLength < MINIMUM_UNSAVED_LENGTH
        ) {
            return
        }
        val record = record(output) ?: return
        lastSaveMillis = now
        output.savedLength = output.resumableLength
        partition.writeInBackground(record, output.encodeResumable())
    }

    private fun record(output: ItemOutput): SubmissionRecord.Progress? =
        output.lastEvent?.let { SubmissionRecord.Progress(submission, item, it, output.origin) }

    private companion object {
        val logger = KotlinLogging.logger {}

        // A third of the run time of an item of typical size.
        const val SAVE_INTERVAL_MILLIS = 2_000L

        // In characters. Regenerating less output than this is faster than storing it.
        const val MINIMUM_UNSAVED_LENGTH = 1_000
    }
}
