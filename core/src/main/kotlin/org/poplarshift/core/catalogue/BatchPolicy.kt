package org.poplarshift.core.catalogue

import kotlinx.serialization.Serializable

/**
 * Limits of batch jobs.
 *
 * @property maximumAttempts attempts after which an item ends as failed
 * @property resultRetentionHours how long a result stays readable after its job has ended
 * @property headroom concurrent requests per worker that batch leaves free
 */
@Serializable
data class BatchPolicy(
    val maximumItems: Int = 66_000,
    val maximumAttempts: Int = 3,
    val resultRetentionHours: Int = 72,
    val headroom: Int = 1,
)
