package org.poplarshift.core.batch

import org.poplarshift.core.ownership.Slot

/**
 * Selects the jobs whose records must be appended to the log again before they leave its retention.
 *
 * @param carryAfterMillis the age of a job's oldest required record at which its records are appended again. It is at
 * most half of the log's retention, so that a log outage of the same length loses no records.
 */
class CarryPlanner(private val carryAfterMillis: Long) {
    /** Returns the jobs of [slots] that are due at the wall clock time [nowMillis], oldest first. */
    fun due(index: BatchIndex, slots: Set<Slot>, nowMillis: Long): List<JobState> = index.allJobs
        .filter { it.slot in slots && it.anchorMillis + carryAfterMillis <= nowMillis }
        .filterNot { BatchIndex.isRemovable(it, nowMillis) }
        .sortedBy { it.anchorOffset }
}
