package org.poplarshift.serving.submission

import org.poplarshift.core.submission.SubmissionState
import org.poplarshift.serving.BackgroundTasks
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.serving.log.PageGate
import org.poplarshift.serving.log.PartitionedLog
import java.security.SecureRandom
import java.util.HexFormat
import java.util.Random

/**
 * All submissions, partitioned by organisation.
 *
 * @param cache keeps bodies and outputs of all partitions
 * @param random source of the ids of new records
 */
class SubmissionStore(
    tasks: BackgroundTasks,
    log: PartitionedLog,
    clock: MonotonicClock,
    topic: String,
    contentTopic: String,
    partitions: Int,
    cache: ContentCache,
    private val random: Random = SecureRandom(),
) {
    private val pages = PageGate(clock)

    /** All partitions, in order of their numbers. */
    val partitions = List(partitions) {
        SubmissionPartition(log, clock, topic, contentTopic, it, tasks, cache, pages, ::newId)
    }

    /** Changes whenever records of any partition have been read. */
    val revision: Long
        get() = partitions.sumOf { it.revision }

    /** Returns the partition that holds the submissions of [organisation]. */
    fun partitionOf(organisation: String): SubmissionPartition =
        partitions[Math.floorMod(organisation.hashCode(), partitions.size)]

    /** Returns the submission [id], or null if it is not known or does not belong to [organisation]. */
    fun find(id: String, organisation: String): SubmissionState? =
        partitionOf(organisation).ledger.find(id)?.takeIf { it.proposal.organisation == organisation }

    private fun newId(): String {
        val bytes = ByteArray(ID_BYTES)
        random.nextBytes(bytes)
        return HexFormat.of().formatHex(bytes)
    }

    private companion object {
        // Long enough that ids are unique among all records that are stored at the same time.
        const val ID_BYTES = 10
    }
}
