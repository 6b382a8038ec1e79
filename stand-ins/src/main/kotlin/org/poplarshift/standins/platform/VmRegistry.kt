package org.poplarshift.standins.platform

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The VM list and its past versions, so that responses can be outdated. Times are monotonic milliseconds. */
internal class VmRegistry(initial: List<Vm>) {
    private val versions = ArrayDeque(listOf(Version(Long.MIN_VALUE, initial)))

    /** The newest list. */
    val current: List<Vm>
        get() = versions.last().vms

    /** Replaces the list at [nowMillis]. */
    fun replace(vms: List<Vm>, nowMillis: Long) {
        if (vms == current) return
        versions += Version(nowMillis, vms)
        if (versions.size > MAXIMUM_VERSIONS) versions.removeFirst()
    }

    /** Returns the list as of [timeMillis]. */
    fun at(timeMillis: Long): List<Vm> = (versions.lastOrNull { it.sinceMillis <= timeMillis } ?: versions.first()).vms

    private data class Version(val sinceMillis: Long, val vms: List<Vm>)

    private companion object {
        const val MAXIMUM_VERSIONS = 1_000
    }
}

/**
 * A VM in the VM list.
 *
 * @property peerAddress IP address and port of its peers listener
 */
@Serializable
data class Vm(val vm: String, val availabilityZone: String, val peerAddress: String, val state: VmState = VmState.LIVE)

/** The state of a VM. A leaving VM is shutting down. */
@Serializable
enum class VmState {
    @SerialName("live")
    LIVE,

    @SerialName("leaving")
    LEAVING,
}

/** The body of `GET /vms` and `PUT /vms`. */
@Serializable
data class VmsBody(val vms: List<Vm>)
