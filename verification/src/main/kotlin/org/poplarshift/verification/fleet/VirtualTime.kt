package org.poplarshift.verification.fleet

import java.util.PriorityQueue

/** Runs scheduled actions in the order of their times, in microseconds of true time. */
class VirtualTime {
    /** The time of the action that runs now. */
    var nowMicros: Long = 0
        private set

    private var scheduled = 0L
    private val queue = PriorityQueue<Entry>(compareBy<Entry>({ it.atMicros }, { it.number }))

    /** Schedules [action] after [delayMicros]. */
    fun after(delayMicros: Long, action: () -> Unit) {
        queue += Entry(nowMicros + delayMicros.coerceAtLeast(0), scheduled++, action)
    }

    /** Runs everything up to [endMicros], and [afterEach] after each action. */
    fun runUntil(endMicros: Long, afterEach: () -> Unit) {
        while (queue.isNotEmpty() && queue.peek().atMicros <= endMicros) {
            val entry = queue.poll()
            nowMicros = entry.atMicros
            entry.action()
            afterEach()
        }
        nowMicros = endMicros
    }

    private class Entry(val atMicros: Long, val number: Long, val action: () -> Unit)
}
