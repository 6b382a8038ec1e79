package org.poplarshift.serving

/** Delays before the next attempt, which double after each failure from [initialMillis] up to [maximumMillis]. */
class Backoff(private val initialMillis: Long, private val maximumMillis: Long) {
    private var delayMillis = initialMillis

    /** Returns the delay after a further failure. */
    fun next(): Long = delayMillis.also { delayMillis = minOf(it * 2, maximumMillis) }

    /** Starts again with the initial delay. */
    fun reset() {
        delayMillis = initialMillis
    }
}
