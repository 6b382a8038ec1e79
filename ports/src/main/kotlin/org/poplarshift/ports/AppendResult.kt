package org.poplarshift.ports

/** The outcome of an append. */
sealed interface AppendResult {
    /** The record is in the log at [offset]. */
    data class Appended(val offset: Long) : AppendResult

    /** The record is not in the log. */
    data class Refused(val reason: String) : AppendResult

    /**
     * The record may be in the log: the response was lost, late or not valid. Reading the end of the stream resolves
     * it.
     */
    data class Unknown(val reason: String) : AppendResult
}
