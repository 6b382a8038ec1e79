package org.poplarshift.standins.service

import kotlinx.serialization.Serializable

/**
 * Settings of one plain service.
 *
 * @property port the port to listen on; 0 picks a free port
 * @property capacity the capacity in the load report, in requests; not enforced
 * @property runMillis duration of one run
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
