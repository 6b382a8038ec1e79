package org.poplarshift.node.batch

/** What comes next in an upload. */
sealed interface LineResult {
    /** One line without its end. */
    data class Line(val text: String) : LineResult

    /** The body is complete. */
    data object End : LineResult

    /** The line exceeds the limit. */
    data object LineTooLong : LineResult

    /** The body exceeds the limit. */
    data object BodyTooLong : LineResult

    /** The caller sent nothing for too long. */
    data object Stalled : LineResult
}
