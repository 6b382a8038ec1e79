package org.poplarshift.core.batch

/** The effect of a record on [BatchIndex]. */
sealed interface BatchResult {
    /** The record created the job. */
    data class Accepted(val job: JobState) : BatchResult

    /** A job with the same identifier and content already exists. */
    data class SameJob(val job: JobState) : BatchResult

    /** A job with the same identifier and other content already exists. */
    data class Conflict(val job: JobState) : BatchResult

    /** The holder in the record started [items]. The record started none of its other items. */
    data class Started(val job: JobState, val items: List<Int>) : BatchResult

    /** [results] were stored. [dropped] results were discarded, as they were not valid first results of an item. */
    data class Recorded(val job: JobState, val results: List<ItemResult>, val dropped: Int) : BatchResult

    /** The record cancelled the job. */
    data class Cancelled(val job: JobState) : BatchResult

    /** The snapshot in the record replaced the state of the job and its log offsets. */
    data class Carried(val job: JobState) : BatchResult

    /** The record had no effect. */
    data class Ignored(val reason: IgnoredReason) : BatchResult
}
