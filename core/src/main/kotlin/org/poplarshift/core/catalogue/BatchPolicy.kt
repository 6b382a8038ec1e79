package org.poplarshift.core.catalogue

import kotlinx.serialization.Serializable

/**
 * Limits of batch jobs.
 *
 * @property maximumItems the maximum number of items of a job
 * @property maximumAttempts the number of attempts after which an item fails
 * @property resultRetentionHours the time for which results stay readable after the end of their job, in hours
 * @property headroom the number of concurrent requests per worker that batch jobs leave free
 */
@Serializable
data class BatchPolicy(
    val maximumItems: Int = 66_000,
    val maximumAttempts: Int = 3,
    val resultRetentionHours: Int = 72,
    val headroom: Int = 1,
)
