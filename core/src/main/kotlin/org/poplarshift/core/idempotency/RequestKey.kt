package org.poplarshift.core.idempotency

/**
 * An organisation's `Idempotency-Key`.
 *
 * @property keyHash SHA-256 of the key in hexadecimal digits
 */
data class RequestKey(val organisation: String, val keyHash: String)
