package org.poplarshift.ports

/** The outcome of an append. */
sealed interface AppendResult {
    /** The record is in the log at [offset]. */
    data class Appended(val offset: Long) : AppendResult

    /** The record is not in the log. */
    data class Refused(val reason: String) : AppendResult

    /** The record may be in the log: the answer was lost or came too late. Read the tail to find out. */
    data class Unknown(val reason: String) : AppendResult
}
