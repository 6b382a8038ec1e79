package org.poplarshift.standins.caller

/**
 * A request of a caller.
 *
 * @property waitMillis time in milliseconds for which a read of results may wait, or null
 * @property resumeAfter last event that the caller has, or null
 * @property resumedRequestId id of the call that brought the first event of the stream to resume, or null
 * @property isChunked whether the body is sent in chunks
 * @property leaveAfterMillis time in milliseconds after which the caller closes the connection, or null
 */
data class Call(
    val id: String,
    val method: String,
    val uri: String,
    val host: String,
    val key: String,
    val body: String = "",
    val deadlineMillis: Long = 5_000,
    val waitMillis: Long? = null,
    val resumeAfter: Int? = null,
    val resumedRequestId: String? = null,
    val isChunked: Boolean = false,
    val leaveAfterMillis: Long? = null,
)
