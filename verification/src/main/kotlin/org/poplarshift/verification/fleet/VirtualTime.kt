package org.poplarshift.verification.fleet

import java.util.PriorityQueue

/** Runs scheduled actions in the order of their times, in microseconds of simulated time. */
class VirtualTime {
    /** The time of the current action. */
    var nowMicros: Long = 0
        private set

    private var nextSequence = 0L
    private val queue = PriorityQueue<Entry>(compareBy<Entry>({ it.atMicros }, { it.sequence }))

    /** Schedules [action] after [delayMicros]. */
    fun after(delayMicros: Long, action: () -> Unit) {
        queue += Entry(nowMicros + delayMicros.coerceAtLeast(0), nextSequence++, action)
    }

    /** Runs all actions that are due up to [endMicros], and [afterEach] after each of them. */
    fun runUntil(endMicros: Long, afterEach: () -> Unit) {
        while (queue.isNotEmpty() && queue.peek().atMicros <= endMicros) {
            val entry = queue.poll()
            nowMicros = entry.atMicros
            entry.action()
            afterEach()
        }
        nowMicros = endMicros
    }

    private class Entry(val atMicros: Long, val sequence: Long, val action: () -> Unit)
}
