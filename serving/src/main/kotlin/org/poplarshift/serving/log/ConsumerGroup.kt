package org.poplarshift.serving.log

/** A group of members among which the log's service distributes the partitions of a topic. */
interface ConsumerGroup {
    /** Joins or stays in the group. [generation] is the one that the last answer bore, 0 at first. */
    suspend fun join(generation: Long): JoinResult

    /** Gives the partitions up. */
    suspend fun leave()
}

/** The outcome of a join. */
sealed interface JoinResult {
    /** @property partitions numbers of the partitions that belong to this member */
    data class Joined(val generation: Long, val partitions: Set<Int>) : JoinResult

    /** Nothing is known. */
    data class Unavailable(val reason: String) : JoinResult
}
