package org.poplarshift.core.batch

/** What a record did to the index. */
sealed interface BatchResult {
    /** A job exists from this record on. */
    data class Accepted(val job: JobState) : BatchResult

    /** The job exists already with the same content. */
    data class SameJob(val job: JobState) : BatchResult

    /** Another job has the identifier. */
    data class Conflict(val job: JobState) : BatchResult

    /** The named items were started by the record's holder; all others of the record were not. */
    data class Started(val job: JobState, val items: List<Int>) : BatchResult

    /** Results took effect; [dropped] counts those that were not the first of their item. */
    data class Recorded(val job: JobState, val results: List<ItemResult>, val dropped: Int) : BatchResult

    /** The job is cancelled. */
    data class Cancelled(val job: JobState) : BatchResult

    /** The job's records moved to newer offsets. */
    data class Carried(val job: JobState) : BatchResult

    /** The record changed nothing. */
    data class Ignored(val reason: IgnoredReason) : BatchResult
}
