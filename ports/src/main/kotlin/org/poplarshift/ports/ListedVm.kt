package org.poplarshift.ports

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * A VM in the platform's list.
 *
 * @property peerAddress IP address and port of the peers listener, such as `127.0.0.1:9101`
 */
@Serializable
data class ListedVm(val vm: String, val availabilityZone: String, val peerAddress: String, val state: VmState)

/** Whether a VM is in service or about to be removed. */
@Serializable
enum class VmState {
    @SerialName("live")
    LIVE,

    @SerialName("leaving")
    LEAVING,
}
