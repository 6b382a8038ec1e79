package org.poplarshift.core.admission

import java.util.TreeSet

/**
 * A bounded start-time fair queue by organisation. Each organisation gets service, measured in tokens, in proportion to
 * its weight while it has requests waiting; within an organisation requests keep their order.
 *
 * A request's start tag is the larger of the virtual time at its arrival and the end of its organisation's last
 * service; the smallest tag goes first, and virtual time is the tag of the last request that was taken. A request that
 * leaves without service costs its organisation nothing.
 *
 * @param maximumLength requests in the queue
 */
class FairQueue<T>(private val maximumLength: Int) {
    private val backlogs = HashMap<String, OrganisationBacklog<T>>()
    private val order = TreeSet(compareBy<OrganisationBacklog<T>>({ it.start }, { it.organisation }))
    private var virtualTime = 0.0

    /** Requests in the queue. */
    var size = 0
        private set

    /** Adds [request]. When the queue is full, the organisation with the longest backlog gives way. */
    fun offer(request: QueuedRequest<T>): OfferResult<T> {
        if (size < maximumLength) {
            add(request)
            return OfferResult.Queued
        }
        val longest = order.maxByOrNull { it.normalisedBacklog } ?: return OfferResult.Full
        val own = backlogs[request.organisation]?.normalisedBacklog ?: 0.0
        if (own + request.costTokens / request.weight >= longest.normalisedBacklog) return OfferResult.Full
        val evicted = longest.newest()
        remove(evicted)
        add(request)
        return OfferResult.QueuedAfterEviction(evicted)
    }

    /**
     * Passes waiting requests to [take] in fair order until one is taken or nothing has room, and returns the taken one.
     * Only constrained requests, which can't use every worker, are passed over.
     */
    fun poll(take: (QueuedRequest<T>) -> TakeResult): QueuedRequest<T>? {
        for (request in order.asSequence().flatMap { it.all.asSequence() }) {
            val result = take(request)
            if (result == TakeResult.TAKEN) return request.also { serve(it) }
            if (result == TakeResult.FULL || !request.isConstrained) return null
        }
        return null
    }

    /** Removes [request], whose caller has gone or stopped waiting; returns whether it was in the queue. */
    fun remove(request: QueuedRequest<T>): Boolean {
        val backlog = backlogs[request.organisation] ?: return false
        order.remove(backlog)
        val removed = backlog.remove(request)
        if (removed) size--
        if (!backlog.isEmpty) order.add(backlog)
        return removed
    }

    /** Removes and returns the requests whose deadline has passed. */
    fun expire(nowMillis: Long): List<QueuedRequest<T>> =
        order.flatMap { it.all }.filter { it.deadlineMillis <= nowMillis }.onEach { remove(it) }

    private fun add(request: QueuedRequest<T>) {
        request.arrivedAt = virtualTime
        val backlog = backlogs.getOrPut(request.organisation) { OrganisationBacklog(request.organisation) }
        val wasEmpty = backlog.isEmpty
        backlog.add(request)
        if (wasEmpty) order.add(backlog)
        size++
    }

    private fun serve(request: QueuedRequest<T>) {
        val backlog = backlogs.getValue(request.organisation)
        val startTag = backlog.start
        order.remove(backlog)
        backlog.remove(request)
        backlog.serve(request, startTag)
        virtualTime = maxOf(virtualTime, startTag)
        size--
        if (!backlog.isEmpty) order.add(backlog)
        if (size == 0) removeIdleBacklogs()
    }

    // A backlog that has ended before the present virtual time has no more effect on the order.
    private fun removeIdleBacklogs() {
        if (backlogs.size > IDLE_LIMIT) backlogs.values.removeIf { it.isEmpty && it.finish <= virtualTime }
    }

    private companion object {
        const val IDLE_LIMIT = 64
    }
}
