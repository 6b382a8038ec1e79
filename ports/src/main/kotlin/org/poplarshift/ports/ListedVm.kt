package org.poplarshift.ports

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * A VM in the platform's list.
 *
 * @property peerAddress IP number and port of the peers' listener, such as `127.0.0.1:9101`
 */
@Serializable
data class ListedVm(val vm: String, val availabilityZone: String, val peerAddress: String, val state: VmState)

/** Whether a VM stays in service. */
@Serializable
enum class VmState {
    @SerialName("live")
    LIVE,

    @SerialName("leaving")
    LEAVING,
}
