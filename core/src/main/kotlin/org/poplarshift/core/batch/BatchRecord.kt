package org.poplarshift.core.batch

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.poplarshift.core.ownership.Slot

/**
 * A record of the log stream `batch`. Each upload has a unique identifier, and records refer to a job by the identifier
 * of its accepted upload, so that records of an earlier job with the same job identifier never affect a later one.
 */
@Serializable
sealed interface BatchRecord {
    /**
     * A part of the items of an upload. [BatchIndex] does not store it; [JobAccepted] contains its offset.
     *
     * @property carried whether the record is a copy of an earlier one that is about to leave the log's retention
     */
    @Serializable
    @SerialName("itemsUploaded")
    data class ItemsUploaded(
        val uploadId: String,
        val chunk: Int,
        val items: List<BatchItem>,
        val carried: Boolean = false,
    ) : BatchRecord

    /**
     * Accepts an uploaded set of items as a job. The first record for an organisation and job identifier wins.
     *
     * @property digest SHA-256 of the upload's lines in hexadecimal digits
     * @property chunks the log positions of the items, in item order
     * @property upstream the upstream that runs the items
     * @property acceptedAtMillis wall clock time of the writer
     * @property readableMillis how long results stay readable after the end of the job
     * @property through the offset of the last record that the writer had applied when it found the identifier unused.
     * A reader that did not read all records after it cannot determine whether the upload is a resend that lost.
     */
    @Serializable
    @SerialName("jobAccepted")
    data class JobAccepted(
        val uploadId: String,
        val organisation: String,
        val jobId: String,
        val digest: String,
        val itemCount: Int,
        val slot: Slot,
        val upstream: String,
        val idempotent: Boolean,
        val chunks: List<ChunkReference>,
        val acceptedAtMillis: Long,
        val readableMillis: Long,
        val through: Long,
    ) : BatchRecord

    /** [holder] is about to send non-idempotent items to workers. The first record of an item wins. */
    @Serializable
    @SerialName("itemsStarted")
    data class ItemsStarted(val uploadId: String, val items: List<Int>, val holder: String) : BatchRecord

    /**
     * Results of items. The first result of an item wins.
     *
     * @property atMillis wall clock time of the writer
     * @property carried whether the record is a copy of earlier results; [JobCarried] then contains its offset
     */
    @Serializable
    @SerialName("resultsRecorded")
    data class ResultsRecorded(
        val uploadId: String,
        val results: List<ItemResult>,
        val atMillis: Long,
        val carried: Boolean = false,
    ) : BatchRecord

    /** Cancels a job: no item starts after this record, and later results are discarded. */
    @Serializable
    @SerialName("jobCancelled")
    data class JobCancelled(val uploadId: String, val atMillis: Long) : BatchRecord

    /**
     * The state of a job. It is appended after copies of the job's items and results, so that they do not leave the
     * log's retention.
     *
     * @property through the offset of the last record that [job] reflects
     */
    @Serializable
    @SerialName("jobCarried")
    data class JobCarried(val job: JobSnapshot, val through: Long, val atMillis: Long) : BatchRecord
}
