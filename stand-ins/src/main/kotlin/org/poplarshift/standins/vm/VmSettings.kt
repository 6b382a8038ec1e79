package org.poplarshift.standins.vm

import java.io.File

/**
 * A VM of the users' platform.
 *
 * @property host loopback address of the VM
 * @property firstPort the first of four ports: callers, readiness, nodes, metrics
 * @property storeAddress address at which the VM reaches the store
 * @property processors number of processors that the process uses, or null for all
 * @property directory where settings and logs are written
 * @property options further options of the JVM, which override the usual ones
 * @property descriptors maximum number of open file descriptors of the process, or null for the usual one
 */
data class VmSettings(
    val name: String,
    val zone: String,
    val host: String,
    val firstPort: Int,
    val storeAddress: String,
    val directory: File,
    val processors: Int? = null,
    val options: List<String> = emptyList(),
    val descriptors: Int? = null,
) {
    val callersPort: Int
        get() = firstPort

    val readinessPort: Int
        get() = firstPort + 1

    val peerPort: Int
        get() = firstPort + 2
}
