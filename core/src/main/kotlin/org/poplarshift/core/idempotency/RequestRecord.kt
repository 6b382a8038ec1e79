package org.poplarshift.core.idempotency

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * A record of the log stream `requests` for a request with an `Idempotency-Key` on a non-idempotent route.
 */
@Serializable
sealed interface RequestRecord {
    /**
     * A node is about to dispatch the request. The first record for a key wins.
     *
     * @property keyHash SHA-256 of the key in hexadecimal digits
     * @property digest SHA-256 of method, path and body in hexadecimal digits
     * @property requestId unique identifier of this attempt, so that the writer recognises a repeated record as its own
     * @property node the incarnation of the node
     * @property atMillis wall clock time of the writer
     * @property windowMillis how long a repeated request with the key is recognised
     */
    @Serializable
    @SerialName("requestStarted")
    data class RequestStarted(
        val organisation: String,
        val keyHash: String,
        val digest: String,
        val requestId: String,
        val node: String,
        val atMillis: Long,
        val windowMillis: Long,
    ) : RequestRecord

    /** The response to the request. */
    @Serializable
    @SerialName("requestFinished")
    data class RequestFinished(
        val organisation: String,
        val keyHash: String,
        val requestId: String,
        val status: Int,
        val contentType: String,
        val body: String,
    ) : RequestRecord

    /** The request was certainly not run, so its key can be used again. */
    @Serializable
    @SerialName("requestAbandoned")
    data class RequestAbandoned(val organisation: String, val keyHash: String, val requestId: String) : RequestRecord

    /** Records that share an append. They are applied in order. */
    @Serializable
    @SerialName("requestGroup")
    data class RequestGroup(val records: List<RequestRecord>) : RequestRecord
}
