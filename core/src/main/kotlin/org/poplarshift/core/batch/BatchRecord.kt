package org.poplarshift.core.batch

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.poplarshift.core.ownership.Slot

/**
 * A record of the log stream `batch`. Each upload has an identifier of its own, and a job is known by the identifier
 * of the upload that was accepted, so that records of an earlier job with the same name never touch a later one.
 */
@Serializable
sealed interface BatchRecord {
    /**
     * A part of the items of an upload. [BatchIndex] keeps nothing of it: [JobAccepted] gives its offset.
     *
     * @property carried whether it repeats an earlier record that is about to leave the log's retention
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
     * The items of an upload are a job. The first record with an organisation and job identifier wins.
     *
     * @property digest SHA-256 of the upload's lines in hexadecimal digits
     * @property chunks where the items are, in the order of the items
     * @property upstream the upstream that runs the items
     * @property acceptedAtMillis wall clock of the writer
     * @property readableMillis how long results stay readable after the job has ended
     * @property through the offset of the last record that the writer had applied when it found that no job has the
     * identifier, so that a reader that did not read on from there does not take a resent upload for the job
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

    /** Non-idempotent items are about to be sent by [holder]; the first record of an item wins. */
    @Serializable
    @SerialName("itemsStarted")
    data class ItemsStarted(val uploadId: String, val items: List<Int>, val holder: String) : BatchRecord

    /**
     * Items have ended; the first result of an item wins.
     *
     * @property atMillis wall clock of the writer
     * @property carried whether it repeats results; [JobCarried] then gives its offset
     */
    @Serializable
    @SerialName("resultsRecorded")
    data class ResultsRecorded(
        val uploadId: String,
        val results: List<ItemResult>,
        val atMillis: Long,
        val carried: Boolean = false,
    ) : BatchRecord

    /** No item of the job starts after this record, and later results are dropped. */
    @Serializable
    @SerialName("jobCancelled")
    data class JobCancelled(val uploadId: String, val atMillis: Long) : BatchRecord

    /**
     * The state of a job, appended after its carried items and results so that none of it leaves the log's retention.
     *
     * @property through the offset of the last record that [job] takes into account
     */
    @Serializable
    @SerialName("jobCarried")
    data class JobCarried(val job: JobSnapshot, val through: Long, val atMillis: Long) : BatchRecord
}
