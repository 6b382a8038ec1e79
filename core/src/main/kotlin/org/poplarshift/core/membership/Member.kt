package org.poplarshift.core.membership

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * An entry of the membership table: one process of a VM.
 *
 * @property incarnation the identifier of the process; it changes with each restart of the VM
 * @property heartbeat a counter that only the process itself increments; the newer of two entries has the larger one
 */
@Serializable
data class Member(
    val vm: String,
    val incarnation: String,
    val availabilityZone: String,
    val address: String,
    val heartbeat: Long,
    val state: MemberState = MemberState.LIVE,
)

/** Whether a member is in service or is shutting down. */
@Serializable
enum class MemberState {
    @SerialName("live")
    LIVE,

    @SerialName("leaving")
    LEAVING,
}
