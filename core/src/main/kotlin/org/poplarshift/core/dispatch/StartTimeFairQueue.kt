package org.poplarshift.core.dispatch

import java.util.TreeSet

/**
 * Waiting requests of the same use and priority, ordered by start-time fair queueing over organisations.
 *
 * Requests that can still be on time precede all others: under overload, the order of arrival alone would delay every
 * request by the length of the whole queue, so that all of them would be late.
 *
 * Serving a request advances the start time of its organisation by the work of the request divided by the weight of the
 * organisation. Virtual time is the smallest start time of all organisations with waiting requests. An organisation that
 * had none starts at the current virtual time: it neither saves up service nor pays for service that nobody else needed.
 * Among organisations that are ahead of virtual time by at most [CREDIT_SECONDS] of their weight, the request that comes
 * first by [SlotWaiter.ORDER] is served first; then follows the organisation with the smallest start time. Without the
 * credit, random differences between organisations with the same load would delay some requests until they are late.
 *
 * @param weight returns the weight of an organisation, in requests per second if it is a rate limit
 */
internal class StartTimeFairQueue(private val weight: (String?) -> Double) {
    private val flows = HashMap<String?, SlotFlow>()
    private val active = LinkedHashSet<SlotFlow>()
    private val byLateTime = TreeSet(compareBy<SlotWaiter>({ it.lateFromMillis }, { it.sequence }))
    private var virtualTime = 0.0
    private var averageWork = 1.0

    /** Work of all waiting requests. */
    val work: Double
        get() = active.sumOf { it.punctualWork + it.lateWork }

    /** Number of organisations with waiting requests. */
    val activeFlows: Int
        get() = active.size

    /** Work that has recently been served for each millisecond. */
    fun servedPerMilli(nowMillis: Long): Double = flows.values.sumOf { it.served.perMilli(nowMillis) }

    /** Adds [waiter]. */
    fun add(waiter: SlotWaiter) {
        val organisation = waiter.request.organisation
        val flow = flows.getOrPut(organisation) { SlotFlow(organisation) }
        if (active.add(flow)) {
            advanceVirtualTime(except = flow)
            flow.start = maxOf(virtualTime, flow.finish)
        }
        flow.add(waiter)
        byLateTime.add(waiter)
    }

    /** Removes [waiter], which receives no slot here. */
    fun remove(waiter: SlotWaiter) {
        val flow = flows[waiter.request.organisation] ?: return
        flow.remove(waiter)
        if (flow.isEmpty) active.remove(flow)
        byLateTime.remove(waiter)
        if (flows.size > IDLE_LIMIT) flows.values.removeIf { it.isEmpty && it.finish <= virtualTime }
    }

    /** Removes [waiter], which receives a slot. */
    fun serve(waiter: SlotWaiter, nowMillis: Long) {
        val flow = flows.getValue(waiter.request.organisation)
        advanceVirtualTime()
        flow.onServed(waiter, nowMillis)
        flow.finish = flow.start + waiter.work / weightOf(flow)
        flow.start = flow.finish
        averageWork += (waiter.work - averageWork) * AVERAGE_SHARE
        remove(waiter)
    }

    /** Removes [waiter], which has waited without a slot for as long as it can. */
    fun expire(waiter: SlotWaiter, nowMillis: Long) {
        moveLate(nowMillis)
        flows[waiter.request.organisation]?.onExpired(waiter, nowMillis)
        remove(waiter)
    }

    /** Whether a request of the organisation of [waiter] that becomes late probably waits in vain. */
    fun starvesLate(waiter: SlotWaiter, nowMillis: Long): Boolean =
        flows[waiter.request.organisation]?.starvesLate(nowMillis) == true

    /** Returns the waiting requests; the first one is the next to receive a slot. */
    fun ordered(nowMillis: Long): Sequence<SlotWaiter> {
        moveLate(nowMillis)
        advanceVirtualTime()
        return ordered { it.punctual } + ordered { it.late }
    }

    private fun ordered(waiters: (SlotFlow) -> TreeSet<SlotWaiter>): Sequence<SlotWaiter> = sequence {
        val creditLimit = virtualTime + CREDIT_SECONDS * averageWork
        val order = compareBy<SlotFlow> { maxOf(it.start, creditLimit) }
            .thenComparing({ waiters(it).first() }, SlotWaiter.ORDER)
        val remaining = active.filter { waiters(it).isNotEmpty() }
        // Usually only the first request is needed.
        val first = remaining.minWithOrNull(order) ?: return@sequence
        yieldAll(waiters(first))
        remaining.filter { it !== first }.sortedWith(order).forEach { yieldAll(waiters(it)) }
    }

    /**
     * Estimates the work that receives slots before the waiting request [waiter] if that takes [millis]: work that waits
     * already, and work that other organisations probably submit in this time and that precedes it.
     *
     * @param isLate whether [waiter] also waits for the late requests, because it will become late itself
     */
    fun workBefore(waiter: SlotWaiter, millis: Double, isLate: Boolean, nowMillis: Long): Double {
        val own = flows[waiter.request.organisation] ?: return 0.0
        val ownWork = own.waitingWork(isLate) - waiter.work
        val start = own.start + ownWork / weightOf(own)
        return ownWork + flows.values.sumOf { other ->
            val otherStart = if (other.isEmpty) maxOf(virtualTime, other.finish) else other.start
            if (other === own || otherStart > start) return@sumOf 0.0
            val share = (start - otherStart) * weightOf(other) + waiter.work
            minOf(share, other.waitingWork(isLate) + other.served.perMilli(nowMillis) * millis)
        }
    }

    private fun SlotFlow.waitingWork(isLate: Boolean): Double = if (isLate) punctualWork + lateWork else punctualWork

    private fun moveLate(nowMillis: Long) {
        while (true) {
            val waiter = byLateTime.firstOrNull()?.takeIf { it.lateFromMillis <= nowMillis } ?: return
            byLateTime.remove(waiter)
            val flow = flows.getValue(waiter.request.organisation)
            flow.moveToLate(waiter)
        }
    }

    private fun advanceVirtualTime(except: SlotFlow? = null) {
        val smallest = active.filter { it !== except }.minOfOrNull { it.start } ?: return
        virtualTime = maxOf(virtualTime, smallest)
    }

    private fun weightOf(flow: SlotFlow): Double = weight(flow.organisation).takeIf { it > 0 && it.isFinite() } ?: 1.0

    private companion object {
        // The burst of a rate limit that is divided into seconds. The weights are requests per second.
        const val CREDIT_SECONDS = 1.0

        // Averages over about the last 20 requests.
        const val AVERAGE_SHARE = 0.05

        // Idle flows beyond this number are removed when they no longer affect the order. Bounds memory.
        const val IDLE_LIMIT = 256
    }
}
