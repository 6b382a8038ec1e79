package org.poplarshift.core.orders

import kotlinx.serialization.Serializable

/**
 * Settings for planning and issuing orders.
 *
 * @property coldStartMillis the time for a worker to load a model; demand must be sustained this long to cause an order
 * @property longestOrderMillis the time after which a sent order has ended or will never take effect
 * @property targetUtilisation the target share of a worker's capacity that demand uses
 * @property artifactsPerWorker the maximum number of artifacts on a worker
 */
@Serializable
data class OrderSettings(
    val coldStartMillis: Long = 120_000,
    val longestOrderMillis: Long = 180_000,
    val targetUtilisation: Double = 0.7,
    val artifactsPerWorker: Int = 1,
)
