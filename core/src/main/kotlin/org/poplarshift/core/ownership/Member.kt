package org.poplarshift.core.ownership

/**
 * A process that joined.
 *
 * @property joinedAt the offset of the first join record read
 * @property endedAt the offset of the record that proves the process's end, or null
 */
data class Member(
    val vm: String,
    val incarnation: String,
    val availabilityZone: String,
    val peerAddress: String,
    val joinedAt: Long,
    val endedAt: Long? = null,
)
