package org.poplarshift.core.batch

import org.poplarshift.core.batch.BatchRecord.ResultsRecorded

/** Applies results to a job. The first result of an item wins. */
internal object ResultApplier {
    fun apply(job: JobState, offset: Long, record: ResultsRecorded): BatchResult {
        val ended = job.ended ?: return BatchResult.Ignored(IgnoredReason.REPEATED)
        val first = job.resultCount
        val dropped = mutableListOf<Int>()
        val valid = record.results.filterIndexed { position, result ->
            val isFirst = result.item in 0 until job.itemCount && ended.add(result.item)
            if (!isFirst) dropped += position
            isFirst
        }
        if (valid.isEmpty()) return BatchResult.Ignored(IgnoredReason.REPEATED)
        job.segments.add(SegmentReference(offset, first, dropped))
        val done = valid.count { it.outcome == ItemOutcome.DONE }
        job.done += done
        job.failed += valid.size - done
        if (job.resultCount == job.itemCount) job.end(record.atMillis)
        return BatchResult.Recorded(job, valid, dropped.size)
    }
}
