package org.poplarshift.core.routing

import kotlinx.serialization.Serializable

/**
 * Thresholds for excluding a worker from routing.
 *
 * @property pollMillis interval between polls of a worker's load
 * @property silenceLimitMillis time without a load report after which a worker receives no new work
 * @property failureLimit number of consecutive failures after which a worker is ejected
 * @property ejectionMillis duration of the first ejection, which doubles with each further consecutive ejection
 */
@Serializable
data class WorkerHealthSettings(
    val pollMillis: Long = 500,
    val silenceLimitMillis: Long = 2_000,
    val failureLimit: Int = 5,
    val ejectionMillis: Long = 5_000,
)
