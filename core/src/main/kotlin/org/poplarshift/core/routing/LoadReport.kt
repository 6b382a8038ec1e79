package org.poplarshift.core.routing

import kotlinx.serialization.Serializable

/**
 * The response body of `GET /load` at a worker. It lags behind the actual load of the worker.
 *
 * @property running online and batch requests from all nodes that the worker runs
 * @property waiting requests that the worker has accepted but not started
 * @property leaving whether the worker accepts no new requests because it is leaving
 */
@Serializable
data class LoadReport(
    val worker: String,
    val running: Int,
    val waiting: Int,
    val capacity: Int,
    val leaving: Boolean = false,
)
