package org.poplarshift.core.batch

/** Why a record of the stream `batch` changed nothing. */
enum class IgnoredReason {
    /** It holds bodies, which the index does not keep. */
    BODIES_ONLY,

    /** Its job is unknown: never accepted, not the first with its identifier, or forgotten. */
    UNKNOWN_JOB,

    /** The job was cancelled earlier. */
    CANCELLED,

    /** Every item that it names has ended or was started before, or does not exist. */
    REPEATED,

    /** A record that its snapshot does not know came first, or a part of the log that it relies on was not read. */
    OUTDATED_SNAPSHOT,

    /** Whether it is the first with its identifier depends on a part of the log that was not read. */
    UNDECIDED,

    /** The offset was applied before. */
    ALREADY_APPLIED,
}
