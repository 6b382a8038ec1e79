package org.poplarshift.serving.submission

import kotlinx.coroutines.CoroutineScope
import org.poplarshift.core.submission.SubmissionState
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.serving.log.PartitionedLog
import java.security.SecureRandom
import java.util.HexFormat

/** All submissions, in partitions by organisation. */
class SubmissionStore(
    scope: CoroutineScope,
    log: PartitionedLog,
    clock: MonotonicClock,
    topic: String,
    partitions: Int,
) {
    private val random = SecureRandom()

    /** The partitions that are in use. */
    val partitions = List(partitions) { SubmissionPartition(log, clock, topic, it, scope, ::newId) }

    /** Where the submissions of [organisation] are. */
    fun partitionOf(organisation: String): SubmissionPartition =
        partitions[Math.floorMod(organisation.hashCode(), partitions.size)]

    /** The submission [id] of [organisation], or null. */
    fun find(id: String, organisation: String): SubmissionState? =
        partitionOf(organisation).ledger.find(id)?.takeIf { it.proposal.organisation == organisation }

    private fun newId(): String {
        val bytes = ByteArray(ID_BYTES)
        random.nextBytes(bytes)
        return HexFormat.of().formatHex(bytes)
    }

    private companion object {
        // Unique among all records that are ever kept at once.
        const val ID_BYTES = 10
    }
}
