package org.poplarshift.node.batch

/** The result of reading the next line of an upload. */
sealed interface LineResult {
    /** One line without its line terminator. */
    data class Line(val text: String) : LineResult

    /** The body is complete. */
    data object End : LineResult

    /** The line exceeds the limit. */
    data object LineTooLong : LineResult

    /** The body exceeds the limit. */
    data object BodyTooLong : LineResult

    /** The caller sent no data within the idle timeout. */
    data object Stalled : LineResult
}
