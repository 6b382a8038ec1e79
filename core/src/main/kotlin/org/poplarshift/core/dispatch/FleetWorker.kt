package org.poplarshift.core.dispatch

/**
 * A worker as its registry entry describes it.
 *
 * @property id new with most starts of the worker
 * @property address IP number and port
 * @property slots requests that it runs at once
 * @property startedMillis Unix milliseconds of the start, which tells restarts under the same id apart
 */
data class FleetWorker(
    val id: String,
    val service: String,
    val address: String,
    val zone: String,
    val slots: Int,
    val isDraining: Boolean,
    val startedMillis: Long,
)
