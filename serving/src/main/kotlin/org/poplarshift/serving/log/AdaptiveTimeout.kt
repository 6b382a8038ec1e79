package org.poplarshift.serving.log

/**
 * The time limit of calls whose duration depends on the load of the log.
 *
 * A call that is repeated with the same limit while the log is slow never succeeds, and the log executes each of them. The
 * limit therefore doubles with each call that reaches it, from [minimumMillis] to [maximumMillis].
 */
class AdaptiveTimeout(private val minimumMillis: Long, private val maximumMillis: Long) {
    /** The limit of the next call in milliseconds. */
    var millis = minimumMillis
        private set

    /** Records that a call has reached the limit. */
    fun onTimeout() {
        millis = minOf(millis * 2, maximumMillis)
    }

    /** Records that a call was answered after [durationMillis]. A single fast answer at most halves the limit. */
    fun onAnswer(durationMillis: Long) {
        millis = maxOf(durationMillis * ANSWER_MARGIN, millis / 2).coerceIn(minimumMillis, maximumMillis)
    }

    private companion object {
        const val ANSWER_MARGIN = 2
    }
}
