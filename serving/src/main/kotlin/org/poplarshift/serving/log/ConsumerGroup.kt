package org.poplarshift.serving.log

/** A group of members to which the log service assigns the partitions of a topic. */
interface ConsumerGroup {
    /** Joins the group or renews the membership. [generation] is that of the last successful join, initially 0. */
    suspend fun join(generation: Long): JoinResult

    /** Leaves the group and releases the partitions. */
    suspend fun leave()
}

/** The outcome of joining the group. */
sealed interface JoinResult {
    /** @property partitions the numbers of the partitions that are assigned to this member */
    data class Joined(val generation: Long, val partitions: Set<Int>) : JoinResult

    /** The group can't be reached, so the assignment is not known. */
    data class Unavailable(val reason: String) : JoinResult
}
