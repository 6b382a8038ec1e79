package org.poplarshift.core.routing

import kotlinx.serialization.Serializable

/**
 * When a worker is avoided.
 *
 * @property pollMillis time between two polls of a worker's load
 * @property silenceLimitMillis time without any load report after which a worker gets no new work
 * @property failureLimit consecutive failures that eject a worker
 * @property ejectionMillis duration of the first ejection; it doubles with each further one
 */
@Serializable
data class WorkerHealthSettings(
    val pollMillis: Long = 500,
    val silenceLimitMillis: Long = 2_000,
    val failureLimit: Int = 5,
    val ejectionMillis: Long = 5_000,
)
