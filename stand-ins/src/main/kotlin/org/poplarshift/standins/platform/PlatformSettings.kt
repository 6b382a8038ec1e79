package org.poplarshift.standins.platform

import kotlinx.serialization.Serializable

/**
 * The platform stand-in of a federation.
 *
 * @property port the port to listen on; 0 takes any free port
 * @property vms the VMs of the list
 * @property probeVms whether the list follows the processes, so that a VM that has ended leaves it
 */
@Serializable
data class PlatformSettings(
    val host: String = "127.0.0.1",
    val port: Int = 0,
    val vms: List<Vm> = emptyList(),
    val probeVms: Boolean = false,
    val faults: PlatformFaults = PlatformFaults(),
)
