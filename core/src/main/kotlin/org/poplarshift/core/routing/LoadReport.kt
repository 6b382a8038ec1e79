package org.poplarshift.core.routing

import kotlinx.serialization.Serializable

/**
 * The body of a worker's `GET /load`. It lags behind what the worker does.
 *
 * @property running requests that the worker runs, of all nodes, online and batch
 * @property waiting requests that the worker has accepted and not started
 * @property leaving whether the worker wants no new requests
 */
@Serializable
data class LoadReport(
    val worker: String,
    val running: Int,
    val waiting: Int,
    val capacity: Int,
    val leaving: Boolean = false,
)
