package org.poplarshift.standins.caller

/**
 * What a caller has received.
 *
 * @property status null when no head was received
 * @property stamp the stamp of the worker's run, or null
 * @property body the bytes that were received, as text
 * @property isComplete whether the response ended as complete
 * @property failure why it did not, or null
 */
class CallResult(
    val status: Int?,
    val stamp: String?,
    val body: String,
    val isComplete: Boolean,
    val failure: String?,
    val sentMillis: Long,
    val endMillis: Long,
)
