package org.poplarshift.core.dispatch

import java.util.TreeMap

/**
 * The requests that wait for slots of one service, by use, priority and [StartTimeFairQueue].
 *
 * @param weight returns the weight of an organisation
 */
internal class SlotWaitingList(private val weight: (String?) -> Double) {
    private data class Level(val use: SlotUse, val priority: Int)

    private val queues = TreeMap<Level, StartTimeFairQueue>(compareBy({ it.use }, { it.priority }))
    private val waitersByKey = LinkedHashMap<SlotKey, SlotWaiter>()
    private val counts = IntArray(SlotUse.entries.size)

    /** All waiting requests, in order of arrival. */
    val waiters: Collection<SlotWaiter>
        get() = waitersByKey.values

    /** Number of organisations with waiting requests, counted for each use and priority. */
    val activeFlows: Int
        get() = queues.values.sumOf { it.activeFlows }

    /** Returns the number of waiting requests of [use]. */
    fun count(use: SlotUse): Int = counts[use.ordinal]

    /** Returns the waiting request [key], or null. */
    fun find(key: SlotKey): SlotWaiter? = waitersByKey[key]

    /** Adds [waiter], in place of an earlier request with its key. */
    fun add(waiter: SlotWaiter) {
        find(waiter.request.key)?.let { remove(it) }
        waitersByKey[waiter.request.key] = waiter
        counts[waiter.request.use.ordinal]++
        queueOf(waiter).add(waiter)
    }

    /** Removes [waiter], which receives no slot here. */
    fun remove(waiter: SlotWaiter) {
        forget(waiter)
        queueOf(waiter).remove(waiter)
    }

    /** Removes [waiter], which receives a slot. */
    fun serve(waiter: SlotWaiter, nowMillis: Long) {
        forget(waiter)
        queueOf(waiter).serve(waiter, nowMillis)
    }

    /** Removes [waiter], which has waited without a slot for as long as it can. */
    fun expire(waiter: SlotWaiter, nowMillis: Long) {
        forget(waiter)
        queueOf(waiter).expire(waiter, nowMillis)
    }

    /** Whether a request of the organisation of [waiter] that becomes late probably waits in vain. */
    fun starvesLate(waiter: SlotWaiter, nowMillis: Long): Boolean = queueOf(waiter).starvesLate(waiter, nowMillis)

    /** Returns the waiting requests, of [use] unless it is null; the first one is the next to receive a slot. */
    fun ordered(nowMillis: Long, use: SlotUse? = null): Sequence<SlotWaiter> = queues.entries.asSequence()
        .filter { (level, _) -> use == null || level.use == use }
        .flatMap { (_, queue) -> queue.ordered(nowMillis) }

    /** Estimates the work that receives slots before [waiter]. See [StartTimeFairQueue.workBefore]. */
    fun workBefore(waiter: SlotWaiter, millis: Double, isLate: Boolean, nowMillis: Long): Double {
        val preceding = queues.headMap(waiter.level).values
        return queueOf(waiter).workBefore(waiter, millis, isLate, nowMillis) +
            preceding.sumOf { it.work + it.servedPerMilli(nowMillis) * millis }
    }

    private fun forget(waiter: SlotWaiter) {
        waitersByKey.remove(waiter.request.key)
        counts[waiter.request.use.ordinal]--
    }

    private fun queueOf(waiter: SlotWaiter): StartTimeFairQueue =
        queues.getOrPut(waiter.level) { StartTimeFairQueue(weight) }

    private val SlotWaiter.level: Level
        get() = Level(request.use, request.priority)
}
