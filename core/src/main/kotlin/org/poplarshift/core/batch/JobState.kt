package org.poplarshift.core.batch

import org.poplarshift.core.batch.BatchRecord.JobAccepted
import org.poplarshift.core.ownership.Slot

/**
 * The state of one job in [BatchIndex], as offsets and bit sets without bodies. Only [BatchIndex] modifies it.
 *
 * @property anchorOffset the offset from which a reader of the log can rebuild the job
 * @property anchorMillis wall clock time of the writer of the record that the state was created from
 */
class JobState internal constructor(accepted: JobAccepted, val anchorOffset: Long, val anchorMillis: Long) {
    val uploadId: String = accepted.uploadId

    // Interned, because thousands of jobs share a few names, and decoding creates a copy of each name per job.
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

    /** The offset of the last record for this job, whether or not it had an effect. */
    internal var lastOffset: Long = anchorOffset

    var done = 0
        internal set
    var failed = 0
        internal set

    /** The wall clock time in the record that ended the job, or null while the job runs. */
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

    /** The number of chunks. It is 0 after the end of the job, because its items are no longer needed. */
    val chunkCount: Int
        get() = chunkOffsets.size

    val segmentCount: Int
        get() = segments.size

    /** Whether [item] has a result or its job has ended. */
    fun hasEnded(item: Int): Boolean = ended?.contains(item) ?: true

    /** Returns the holder that first recorded a start of the non-idempotent [item], or null. */
    fun starterOf(item: Int): String? = starts?.entries?.firstOrNull { item in it.value }?.key

    /** Returns the items without a result, or an empty set after the end of the job. */
    fun openItems(): ItemSet {
        val open = ItemSet()
        val endedItems = ended ?: return open
        open.addAllBelow(itemCount)
        open.removeAll(endedItems)
        return open
    }

    /** Returns the number of the chunk that contains [item]. */
    fun chunkOf(item: Int): Int {
        val found = chunkFirsts.binarySearch(item)
        return if (found >= 0) found else -found - 2
    }

    /** Returns the log position of the chunk with the number [chunk]. */
    fun chunk(chunk: Int) = ChunkReference(chunkOffsets[chunk], chunkFirsts[chunk])

    /** Whether the chunk contains items without a result. */
    fun hasOpenItems(chunk: Int): Boolean {
        val endedItems = ended ?: return false
        val end = if (chunk + 1 < chunkCount) chunkFirsts[chunk + 1] else itemCount
        return endedItems.nextMissing(chunkFirsts[chunk]) < end
    }

    /** Ends the job and releases the memory that only a running job needs. */
    internal fun end(atMillis: Long) {
        endedAtMillis = atMillis
        ended = null
        starts = null
        chunkOffsets = LongArray(0)
        chunkFirsts = IntArray(0)
        segments.trim()
    }

    /** Returns the log position of the segment of results with the number [index]. */
    fun segment(index: Int): SegmentReference = segments[index]

    /** Returns the number of the segment that contains the result with the number [position]. */
    fun segmentOf(position: Int): Int = segments.indexOf(position)

    /** Returns the wall clock time until which results are readable, or null while the job runs. */
    fun readableUntilMillis(): Long? = endedAtMillis?.plus(readableMillis)

    /** Returns the state for [BatchRecord.JobCarried], with [chunks] and [segments] at their new offsets. */
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
