package org.poplarshift.standins.service

import kotlinx.serialization.Serializable

/**
 * One plain service.
 *
 * @property port the port to listen on; 0 takes any free port
 * @property capacity requests that the load report gives as the capacity; it is not enforced
 * @property runMillis time that one request takes
 */
@Serializable
data class ServiceSettings(
    val worker: String,
    val host: String = "127.0.0.1",
    val port: Int = 0,
    val capacity: Int = 32,
    val runMillis: Long = 5,
    val faults: ServiceFaults = ServiceFaults(),
)
