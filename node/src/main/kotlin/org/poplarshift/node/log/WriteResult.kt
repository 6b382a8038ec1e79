package org.poplarshift.node.log

/** Whether a record is in the log. */
sealed interface WriteResult {
    /** The record is in the log at [offset], and possibly at other offsets as well. */
    data class Written(val offset: Long) : WriteResult

    /** The record is certainly not in the log and will not be. */
    data class NotWritten(val reason: String) : WriteResult

    /** The record may be in the log or may appear there later. */
    data class Unknown(val reason: String) : WriteResult
}
