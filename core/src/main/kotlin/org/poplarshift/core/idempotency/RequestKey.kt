package org.poplarshift.core.idempotency

/**
 * The `Idempotency-Key` of a request, scoped to the organisation.
 *
 * @property keyHash SHA-256 of the key in hexadecimal digits
 */
data class RequestKey(val organisation: String, val keyHash: String)
