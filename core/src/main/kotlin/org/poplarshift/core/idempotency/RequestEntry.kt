package org.poplarshift.core.idempotency

/**
 * The state of a key in [RequestIndex].
 *
 * @property startedOffset the offset of the record that started the request
 * @property finishedOffset the offset of the record with the response, or null without a response
 */
data class RequestEntry(
    val digest: String,
    val requestId: String,
    val node: String,
    val startedOffset: Long,
    val expiresAtMillis: Long,
    val finishedOffset: Long? = null,
)
