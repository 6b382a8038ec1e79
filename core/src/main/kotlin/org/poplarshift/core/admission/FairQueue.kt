package org.poplarshift.core.admission

import java.util.TreeSet

/**
 * A bounded start-time fair queue by organisation. An organisation with waiting requests receives service, measured in
 * tokens, in proportion to its weight. Requests of the same organisation are served in arrival order.
 *
 * The start tag of a request is the larger of the virtual time at its arrival and the finish tag of its organisation's
 * last served request. The request with the smallest start tag is served first, and virtual time advances to its tag. A
 * request that is removed without service is not charged to its organisation.
 *
 * @param maximumLength the maximum number of requests in the queue
 */
class FairQueue<T>(private val maximumLength: Int) {
    private val backlogs = HashMap<String, OrganisationBacklog<T>>()
    private val order = TreeSet(compareBy<OrganisationBacklog<T>>({ it.start }, { it.organisation }))
    private var virtualTime = 0.0

    /** The number of requests in the queue. */
    var size = 0
        private set

    /** Adds [request]. If the queue is full, it may evict the newest request of the longest normalised backlog. */
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
     * Passes waiting requests to [take] in fair order until one is taken or no worker has room. Returns the taken
     * request or null. A blocked request is skipped only if it is constrained, that is, cannot use every worker.
     */
    fun poll(take: (QueuedRequest<T>) -> TakeResult): QueuedRequest<T>? {
        for (request in order.asSequence().flatMap { it.all.asSequence() }) {
            val result = take(request)
            if (result == TakeResult.TAKEN) return request.also { serve(it) }
            if (result == TakeResult.FULL || !request.isConstrained) return null
        }
        return null
    }

    /** Removes [request] after its caller disconnected or stopped waiting. Returns whether it was in the queue. */
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

    // An empty backlog whose finish tag is not above the virtual time no longer affects the order.
    private fun removeIdleBacklogs() {
        if (backlogs.size > IDLE_LIMIT) backlogs.values.removeIf { it.isEmpty && it.finish <= virtualTime }
    }

    private companion object {
        const val IDLE_LIMIT = 64
    }
}
