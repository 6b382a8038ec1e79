package org.poplarshift.core.orders

import kotlinx.serialization.Serializable

/**
 * How orders follow demand.
 *
 * @property coldStartMillis the time that a worker needs to load a model; demand must last longer to cause an order
 * @property longestOrderMillis the time after which an order that was sent has ended or will never take effect
 * @property targetUtilisation the share of a worker's capacity that demand should use
 * @property artifactsPerWorker how many artifacts a worker holds at most
 */
@Serializable
data class OrderSettings(
    val coldStartMillis: Long = 120_000,
    val longestOrderMillis: Long = 180_000,
    val targetUtilisation: Double = 0.7,
    val artifactsPerWorker: Int = 1,
)
