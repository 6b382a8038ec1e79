package org.poplarshift.core.batch

import org.poplarshift.core.ownership.Slot

/**
 * Finds the jobs whose records must be appended again before the log's retention ends.
 *
 * @param carryAfterMillis the age of a job's oldest needed record at which it is carried; at most half of the log's
 * retention, so that an outage of the log of the same length loses nothing
 */
class CarryPlanner(private val carryAfterMillis: Long) {
    /** The jobs of [slots] that are due at the wall clock [nowMillis], the oldest first. */
    fun due(index: BatchIndex, slots: Set<Slot>, nowMillis: Long): List<JobState> = index.allJobs
        .filter { it.slot in slots && it.anchorMillis + carryAfterMillis <= nowMillis }
        .filterNot { BatchIndex.isRemovable(it, nowMillis) }
        .sortedBy { it.anchorOffset }
}
