package org.poplarshift.standins.platform

import kotlinx.serialization.Serializable

/**
 * Settings of the platform stand-in.
 *
 * @property port the port to listen on; 0 picks a free port
 * @property vms the VMs in the VM list
 * @property probeVms whether the VMs are probed, so that a VM whose process has ended is removed from the list
 */
@Serializable
data class PlatformSettings(
    val host: String = "127.0.0.1",
    val port: Int = 0,
    val vms: List<Vm> = emptyList(),
    val probeVms: Boolean = false,
    val faults: PlatformFaults = PlatformFaults(),
)
