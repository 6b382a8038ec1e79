package org.poplarshift.core.batch

import org.poplarshift.core.batch.BatchRecord.JobAccepted
import org.poplarshift.core.ownership.Slot

/**
 * One job in the index of a node: offsets and bit sets, no bodies. Only [BatchIndex] changes it.
 *
 * @property anchorOffset the offset of the record from which a reader of the log can rebuild the job
 * @property anchorMillis wall clock of that record's writer
 */
class JobState internal constructor(accepted: JobAccepted, val anchorOffset: Long, val anchorMillis: Long) {
    val uploadId: String = accepted.uploadId

    // Thousands of jobs share a few names; decoded records would keep a copy in each job.
    val key = JobKey(accepted.organisation.intern(), accepted.jobId)
    val digest: String = accepted.digest
    val itemCount: Int = accepted.itemCount
    val slot = Slot(accepted.slot.availabilityZone.intern(), accepted.slot.index)
    val upstream: String = accepted.upstream.intern()
    val idempotent: Boolean = accepted.idempotent
    val acceptedAtMillis: Long = accepted.acceptedAtMillis
    val readableMillis: Long = accepted.readableMillis
    private val through = accepted.through
    private var chunkOffsets = LongArray(accepted.chunks.size) { accepted.chunks[it].offset }
    private var chunkFirsts = IntArray(accepted.chunks.size) { accepted.chunks[it].first }
    internal val segments = SegmentTable()
    internal var starts: MutableMap<String, ItemSet>? = null
    internal var ended: ItemSet? = ItemSet()
    internal var cancelledAt: Long? = null

    /** Offset of the last record that named this job, whether it took effect or not. */
    internal var lastOffset: Long = anchorOffset

    var done = 0
        internal set
    var failed = 0
        internal set

    /** Wall clock of the writer of the record that ended the job, or null while it runs. */
    var endedAtMillis: Long? = null
        internal set

    val phase: JobPhase
        get() = when {
            cancelledAt != null -> JobPhase.CANCELLED
            done + failed == itemCount -> JobPhase.ENDED
            else -> JobPhase.RUNNING
        }

    /** The number of recorded results. */
    val resultCount: Int
        get() = done + failed

    /** The number of chunks; 0 once the job has ended, since nobody needs its items any more. */
    val chunkCount: Int
        get() = chunkOffsets.size

    val segmentCount: Int
        get() = segments.size

    /** Whether [item] has a result or its job has ended. */
    fun hasEnded(item: Int): Boolean = ended?.contains(item) ?: true

    /** The holder whose start of the non-idempotent [item] was recorded first, or null. */
    fun starterOf(item: Int): String? = starts?.entries?.firstOrNull { item in it.value }?.key

    /** The items without a result; empty once the job has ended. */
    fun openItems(): ItemSet {
        val open = ItemSet()
        val endedItems = ended ?: return open
        open.addAllBelow(itemCount)
        open.removeAll(endedItems)
        return open
    }

    /** The number of the chunk that holds [item]. */
    fun chunkOf(item: Int): Int {
        val found = chunkFirsts.binarySearch(item)
        return if (found >= 0) found else -found - 2
    }

    /** Where the chunk with the number [chunk] is. */
    fun chunk(chunk: Int) = ChunkReference(chunkOffsets[chunk], chunkFirsts[chunk])

    /** Whether the chunk holds items without a result. */
    fun hasOpenItems(chunk: Int): Boolean {
        val endedItems = ended ?: return false
        val end = if (chunk + 1 < chunkCount) chunkFirsts[chunk + 1] else itemCount
        return endedItems.nextMissing(chunkFirsts[chunk]) < end
    }

    /** Releases what only a running job needs. */
    internal fun end(atMillis: Long) {
        endedAtMillis = atMillis
        ended = null
        starts = null
        chunkOffsets = LongArray(0)
        chunkFirsts = IntArray(0)
        segments.trim()
    }

    /** The part of the results with the number [index]. */
    fun segment(index: Int): SegmentReference = segments[index]

    /** The number of the part that holds the result with the number [position]. */
    fun segmentOf(position: Int): Int = segments.indexOf(position)

    /** Wall clock until which results can be read, or null while the job runs. */
    fun readableUntilMillis(): Long? = endedAtMillis?.plus(readableMillis)

    /** The state for [BatchRecord.JobCarried], with [chunks] and [segments] at their new offsets. */
    fun snapshot(chunks: List<ChunkReference>, segments: List<SegmentReference>) = JobSnapshot(
        accepted = JobAccepted(
            uploadId = uploadId,
            organisation = key.organisation,
            jobId = key.jobId,
            digest = digest,
            itemCount = itemCount,
            slot = slot,
            upstream = upstream,
            idempotent = idempotent,
            chunks = chunks,
            acceptedAtMillis = acceptedAtMillis,
            readableMillis = readableMillis,
            through = through,
        ),
        segments = segments,
        done = done,
        failed = failed,
        ended = ended?.copy(),
        starts = starts.orEmpty().mapValues { it.value.copy() },
        cancelledAt = cancelledAt,
        endedAtMillis = endedAtMillis,
    )
}
