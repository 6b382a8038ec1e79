package org.poplarshift.core.idempotency

/**
 * What is known of a key.
 *
 * @property startedOffset the offset of the record that started the request
 * @property finishedOffset the offset of the record with the answer, or null while there is none
 */
data class RequestEntry(
    val digest: String,
    val requestId: String,
    val node: String,
    val startedOffset: Long,
    val expiresAtMillis: Long,
    val finishedOffset: Long? = null,
)
