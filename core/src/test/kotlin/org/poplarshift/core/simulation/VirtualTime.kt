package org.poplarshift.core.simulation

import java.util.PriorityQueue

/** Runs actions in virtual time order. Actions with the same time run in the order in which they were added. */
class VirtualTime {
    private class Event(val atMillis: Long, val number: Long, val action: () -> Unit)

    private val events = PriorityQueue<Event>(compareBy({ it.atMillis }, { it.number }))
    private var added = 0L

    /** The current virtual time in milliseconds. */
    var nowMillis = 0L
        private set

    /** Schedules [action] to run after [delayMillis]. */
    fun after(delayMillis: Long, action: () -> Unit) {
        events += Event(nowMillis + delayMillis, added++, action)
    }

    /** Runs all events up to and including [endMillis] and calls [check] after each event. */
    fun run(endMillis: Long, check: () -> Unit = {}) {
        while (events.isNotEmpty() && events.peek().atMillis <= endMillis) {
            val event = events.poll()
            nowMillis = event.atMillis
            event.action()
            check()
        }
    }
}
