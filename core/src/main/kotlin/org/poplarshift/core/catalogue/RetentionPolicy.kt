package org.poplarshift.core.catalogue

import kotlinx.serialization.Serializable

/**
 * How long the system remembers what is not a batch result, in hours.
 *
 * @property idempotencyHours how long a resend with the same `Idempotency-Key` is recognised
 * @property quarantineHours how long a request that crashed two workers is refused
 */
@Serializable
data class RetentionPolicy(val idempotencyHours: Int = 24, val quarantineHours: Int = 24)
