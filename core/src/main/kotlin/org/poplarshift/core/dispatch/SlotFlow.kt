package org.poplarshift.core.dispatch

import java.util.TreeSet

/**
 * The waiting requests of one organisation in a [StartTimeFairQueue]. Requests that can still be on time are kept apart
 * from those that are late.
 *
 * @property organisation null for requests of nodes that do not state one
 */
internal class SlotFlow(val organisation: String?) {
    /** Requests that can still be on time, in the order in which they receive slots. */
    val punctual = TreeSet(SlotWaiter.ORDER)

    /** Requests that can no longer be on time, in the order in which they receive slots. */
    val late = TreeSet(SlotWaiter.ORDER)

    /** Virtual time at which the next request starts. */
    var start = 0.0

    /** Virtual time at which the last request that received a slot ends. */
    var finish = 0.0

    /** Work of [punctual]. */
    var punctualWork = 0.0
        private set

    /** Work of [late]. */
    var lateWork = 0.0
        private set

    /** Work of the requests that have received slots recently. */
    val served = DecayingSum(SERVED_WINDOW_MILLIS)
    private val lateServed = DecayingSum(LATE_WINDOW_MILLIS)
    private val lateExpired = DecayingSum(LATE_WINDOW_MILLIS)

    /** Whether late requests have recently waited in vain, because later ones that could still be on time precede them. */
    fun starvesLate(nowMillis: Long): Boolean {
        val expired = lateExpired.value(nowMillis)
        return expired >= MINIMUM_EXPIRED && expired >= EXPIRED_PER_SERVED * lateServed.value(nowMillis)
    }

    /** Records that [waiter] receives a slot. */
    fun onServed(waiter: SlotWaiter, nowMillis: Long) {
        served.add(waiter.work, nowMillis)
        if (waiter in late) lateServed.add(1.0, nowMillis)
    }

    /** Records that [waiter] has waited without a slot for as long as it can. */
    fun onExpired(waiter: SlotWaiter, nowMillis: Long) {
        if (waiter in late) lateExpired.add(1.0, nowMillis)
    }

    /** Whether no request waits. */
    val isEmpty: Boolean
        get() = punctual.isEmpty() && late.isEmpty()

    /** Adds [waiter] to the punctual requests. */
    fun add(waiter: SlotWaiter) {
        if (punctual.add(waiter)) punctualWork += waiter.work
    }

    /** Removes [waiter]. */
    fun remove(waiter: SlotWaiter) {
        if (punctual.remove(waiter)) punctualWork -= waiter.work
        if (late.remove(waiter)) lateWork -= waiter.work
        // Prevents rounding errors from adding up.
        if (punctual.isEmpty()) punctualWork = 0.0
        if (late.isEmpty()) lateWork = 0.0
    }

    /** Moves [waiter] to the late requests. */
    fun moveToLate(waiter: SlotWaiter) {
        remove(waiter)
        if (late.add(waiter)) lateWork += waiter.work
    }

    private companion object {
        // Several of the load steps of 2.4 to 3.4 s, so that the average does not follow a single step.
        const val SERVED_WINDOW_MILLIS = 10_000.0

        // About the longest time for which requests wait, so that the experience ends soon after its cause.
        const val LATE_WINDOW_MILLIS = 5_000.0

        // Single requests expire at load peaks too, while most of the late ones are served after the peak.
        const val MINIMUM_EXPIRED = 3.0
        const val EXPIRED_PER_SERVED = 4.0
    }
}
