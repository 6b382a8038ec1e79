package org.poplarshift.core.batch

/** The reason why a record of the stream `batch` had no effect. */
enum class IgnoredReason {
    /** The record contains bodies, which the index does not store. */
    BODIES_ONLY,

    /** The job is unknown: it was never accepted, was not the first with its identifier, or was removed. */
    UNKNOWN_JOB,

    /** The job was cancelled earlier. */
    CANCELLED,

    /** Every item in the record has ended, was already started or does not exist, or the job has ended. */
    REPEATED,

    /** The snapshot does not reflect an earlier record, or relies on a part of the log that was not read. */
    OUTDATED_SNAPSHOT,

    /** Whether the job is the first with its identifier depends on a part of the log that was not read. */
    UNDECIDED,

    /** The record at this offset was already applied. */
    ALREADY_APPLIED,
}
