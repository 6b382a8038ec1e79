package org.poplarshift.node.batch

import org.poplarshift.core.batch.BatchItem
import org.poplarshift.core.batch.BatchRecord
import org.poplarshift.core.batch.ItemResult
import org.poplarshift.core.batch.JobState

/** Reads the bodies of items and results from the log and caches recently used chunks of items. */
class BatchBodies(private val batchLog: BatchLog) {
    private val chunks = object : LinkedHashMap<Long, Map<Int, BatchItem>>(16, 0.75f, true) {
        override fun removeEldestEntry(eldest: Map.Entry<Long, Map<Int, BatchItem>>): Boolean = size > MAXIMUM_CHUNKS
    }

    /** Returns the item with the index [item] of [job], or null when the item has ended or the log is unavailable. */
    suspend fun item(job: JobState, item: Int): BatchItem? {
        if (job.hasEnded(item)) return null
        val offset = job.chunk(job.chunkOf(item)).offset
        val cached = chunks[offset]
        if (cached != null) return cached[item]
        val record = batchLog.read(offset) as? BatchRecord.ItemsUploaded ?: return null
        val items = record.items.associateBy { it.index }
        chunks[offset] = items
        return items[item]
    }

    /** Returns the results of the segment with the number [segment] of [job], or null when the log is unavailable. */
    suspend fun results(job: JobState, segment: Int): List<ItemResult>? {
        val reference = job.segment(segment)
        val record = batchLog.read(reference.offset) as? BatchRecord.ResultsRecorded ?: return null
        return record.results.filterIndexed { position, _ -> position !in reference.dropped }
    }

    private companion object {
        // A chunk has about 256 KB of bodies, so 24 chunks take a tenth of a heap of 64 MB.
        const val MAXIMUM_CHUNKS = 24
    }
}
