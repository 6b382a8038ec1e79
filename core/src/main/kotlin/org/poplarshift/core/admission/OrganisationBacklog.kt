package org.poplarshift.core.admission

/** The queued requests of one organisation and its position in virtual time. */
internal class OrganisationBacklog<T>(val organisation: String) {
    private val requests = ArrayDeque<QueuedRequest<T>>()
    private var cost = 0.0

    /** The finish tag of the last served request, in virtual time. */
    var finish = 0.0
        private set

    val isEmpty: Boolean
        get() = requests.isEmpty()

    val all: List<QueuedRequest<T>>
        get() = requests

    /** The start tag of the first request. */
    val start: Double
        get() = maxOf(finish, requests.first().arrivedAt)

    /** The cost of the queued requests, divided by their weights. */
    val normalisedBacklog: Double
        get() = cost

    fun add(request: QueuedRequest<T>) {
        requests.addLast(request)
        cost += request.normalisedCost()
    }

    fun remove(request: QueuedRequest<T>): Boolean {
        if (!requests.remove(request)) return false
        cost = if (requests.isEmpty()) 0.0 else cost - request.normalisedCost()
        return true
    }

    /** Charges the organisation for [request], which was removed and is served from the start tag [startTag]. */
    fun serve(request: QueuedRequest<T>, startTag: Double) {
        finish = startTag + request.normalisedCost()
    }

    fun newest(): QueuedRequest<T> = requests.last()

    private fun QueuedRequest<T>.normalisedCost(): Double = costTokens / weight
}
