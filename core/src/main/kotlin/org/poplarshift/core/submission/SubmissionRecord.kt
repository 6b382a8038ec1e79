package org.poplarshift.core.submission

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.poplarshift.core.stream.StreamOrigin

/** A record of the submission log. Large contents (bodies, outputs) are stored separately from the record as bytes. */
@Serializable
sealed interface SubmissionRecord {
    /** The caller's id of the submission. */
    val submission: String

    /**
     * Proposes a submission. The preceding records determine whether it is accepted.
     *
     * @property organisation empty if callers need no key
     * @property waitingTokensLimit the limit of the route when the record was written, 0 for no limit
     * @property firstSentMillis Unix milliseconds at which the caller first sent it, to the node's knowledge
     * @property items in the caller's order; the content holds their bodies one after another
     */
    @Serializable
    @SerialName("proposed")
    data class Proposed(
        override val submission: String,
        val organisation: String,
        val route: String,
        val host: String,
        val service: String,
        val waitingTokensLimit: Long,
        val firstSentMillis: Long,
        val dueMillis: Long,
        val abandonMillis: Long,
        val maximumAttempts: Int,
        val items: List<ProposedItem>,
    ) : SubmissionRecord

    /** Records the result of an item. The content is the output. */
    @Serializable
    @SerialName("result")
    data class Result(override val submission: String, val item: String, val isComplete: Boolean) : SubmissionRecord

    /**
     * Saves the events of a run up to [lastEvent] so that another node can resume it. The content is the output.
     *
     * @property origin where the output was written, or null if a node of an earlier release has saved it
     */
    @Serializable
    @SerialName("progress")
    data class Progress(
        override val submission: String,
        val item: String,
        val lastEvent: Long,
        val origin: StreamOrigin? = null,
    ) : SubmissionRecord

    /** Ends a submission because its caller needs no further results. */
    @Serializable
    @SerialName("ended")
    data class Ended(override val submission: String) : SubmissionRecord
}

/**
 * An item of a proposed submission.
 *
 * @property headers names and values as sent by the caller
 * @property tokens prompt tokens plus the maximum number of generated tokens
 * @property bodyBytes length of the body in the content
 */
@Serializable
data class ProposedItem(
    val id: String,
    val path: String,
    val headers: Map<String, String>,
    val tokens: Long,
    val bodyBytes: Int,
)
