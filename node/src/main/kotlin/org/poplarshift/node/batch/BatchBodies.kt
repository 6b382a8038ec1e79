package org.poplarshift.node.batch

import org.poplarshift.core.batch.BatchItem
import org.poplarshift.core.batch.BatchRecord
import org.poplarshift.core.batch.ItemResult
import org.poplarshift.core.batch.JobState

/** Reads the bodies of items and results from the log and keeps a few chunks of items that are being run. */
class BatchBodies(private val batchLog: BatchLog) {
    private val chunks = object : LinkedHashMap<Long, Map<Int, BatchItem>>(16, 0.75f, true) {
        override fun removeEldestEntry(eldest: Map.Entry<Long, Map<Int, BatchItem>>): Boolean = size > MAXIMUM_CHUNKS
    }

    /** The item with the index [item] of [job], or null when the log gives no answer or the job has ended. */
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

    /** The results of the segment with the number [segment] of [job], or null when the log gives no answer. */
    suspend fun results(job: JobState, segment: Int): List<ItemResult>? {
        val reference = job.segment(segment)
        val record = batchLog.read(reference.offset) as? BatchRecord.ResultsRecorded ?: return null
        return record.results.filterIndexed { position, _ -> position !in reference.dropped }
    }

    private companion object {
        // A chunk has about 256 KB of bodies; 24 chunks are a tenth of a heap of 64 MB.
        const val MAXIMUM_CHUNKS = 24
    }
}
