package org.poplarshift.core.catalogue

import kotlinx.serialization.Serializable

/**
 * Retention times of data other than batch results, in hours.
 *
 * @property idempotencyHours how long a retry with the same `Idempotency-Key` is recognised
 * @property quarantineHours how long a request that crashed two workers is refused
 */
@Serializable
data class RetentionPolicy(val idempotencyHours: Int = 24, val quarantineHours: Int = 24)
