package org.poplarshift.core.ownership

/**
 * A process that has appended a join record to the stream `ownership`.
 *
 * @property joinedAt the offset of the first join record read
 * @property endedAt the offset of the record that shows that the process has ended, or null if there is none
 */
data class Member(
    val vm: String,
    val incarnation: String,
    val availabilityZone: String,
    val peerAddress: String,
    val joinedAt: Long,
    val endedAt: Long? = null,
)
