package org.poplarshift.core.membership

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * One process of a VM as other nodes know it.
 *
 * @property incarnation the identifier of the process; a restarted VM has a new one
 * @property heartbeat a counter that the process itself increases; the larger of two entries is the newer one
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

/** Whether a member stays in service. */
@Serializable
enum class MemberState {
    @SerialName("live")
    LIVE,

    @SerialName("leaving")
    LEAVING,
}
