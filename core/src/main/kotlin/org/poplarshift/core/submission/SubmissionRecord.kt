package org.poplarshift.core.submission

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A record of the submission log. Large contents (bodies, outputs) stand beside the record as bytes. */
@Serializable
sealed interface SubmissionRecord {
    /** The caller's id of the submission. */
    val submission: String

    /**
     * Proposes a submission. Whether it is accepted follows from the records before it.
     *
     * @property organisation empty where callers need no key
     * @property waitingTokensLimit the limit of the route at the time, 0 for none
     * @property firstSentMillis Unix milliseconds of the first send, as far as the node knows
     * @property items in the caller's order; their bodies follow each other in the content
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

    /** Ends an item; the output is the content. */
    @Serializable
    @SerialName("result")
    data class Result(override val submission: String, val item: String, val isComplete: Boolean) : SubmissionRecord

    /** Keeps the events of a run up to [lastEvent], so that another node can resume; the output is the content. */
    @Serializable
    @SerialName("progress")
    data class Progress(override val submission: String, val item: String, val lastEvent: Long) : SubmissionRecord

    /** The caller wants no more results. */
    @Serializable
    @SerialName("ended")
    data class Ended(override val submission: String) : SubmissionRecord
}

/**
 * An item of a proposed submission.
 *
 * @property headers names and values as the caller gave them
 * @property tokens prompt tokens plus the maximum of generated ones
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
