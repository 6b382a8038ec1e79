package org.poplarshift.node.dispatch

import org.poplarshift.core.admission.FairQueue
import org.poplarshift.core.admission.OfferResult
import org.poplarshift.core.admission.QueuedRequest
import org.poplarshift.core.admission.TakeResult
import org.poplarshift.core.catalogue.Upstream
import org.poplarshift.core.routing.OutlierEjection
import org.poplarshift.core.routing.RoutingPolicy
import org.poplarshift.core.routing.WorkerSelection
import org.poplarshift.core.routing.WorkerSelector
import org.poplarshift.core.verdict.RefusalReason
import org.poplarshift.serving.MonotonicClock
import kotlin.random.Random

/**
 * The workers of one upstream and the queue of online requests for them.
 *
 * @param isHeld whether a worker is reserved for a suspect
 * @param grant creates the grant of a selected worker
 */
class WorkerPool(
    upstream: Upstream,
    localZone: String,
    private val settings: DispatchSettings,
    private val clock: MonotonicClock,
    private val isHeld: (String) -> Boolean,
    private val grant: (WorkerPool, TrackedWorker, String) -> WorkerGrant,
    random: Random = Random.Default,
) {
    private val selector = WorkerSelector(localZone, RoutingPolicy.create(settings.policy, random))
    private val ejection = OutlierEjection()
    private val queue = FairQueue<Waiter>(settings.queueLength)

    /** The workers by identifier. */
    val workers = LinkedHashMap<String, TrackedWorker>()

    /** Number of queued requests. */
    val waiting: Int
        get() = queue.size

    init {
        update(upstream)
    }

    /** Replaces the workers by those of [upstream]. A worker with a changed address starts with new health and load. */
    fun update(upstream: Upstream) {
        workers.keys.retainAll(upstream.workers.map { it.id }.toSet())
        for (worker in upstream.workers) {
            val tracked = workers[worker.id]
            if (tracked == null || tracked.worker.address != worker.address) {
                workers[worker.id] = TrackedWorker(worker, settings.health, clock.millis())
            } else {
                tracked.worker = worker
            }
        }
    }

    /** Returns the workers that are reachable, not ejected and not held. */
    fun usable(): List<TrackedWorker> {
        val now = clock.millis()
        val ejected = ejection.ejected(workers.mapValues { it.value.health }, now)
        return workers.values.filter {
            it.health.isReachable(now) && it.worker.id !in ejected && !isHeld(it.worker.id)
        }
    }

    /** Queues a request; the caller must then call [dispatch]. A refused request is completed at once. */
    fun offer(ticket: DispatchTicket): QueuedRequest<Waiter> {
        val request = QueuedRequest(
            organisation = ticket.organisation,
            weight = ticket.weight,
            costTokens = ticket.costTokens,
            deadlineMillis = clock.millis() + ticket.deadlineMillis,
            payload = Waiter(ticket),
            isConstrained = ticket.excludedWorkers.isNotEmpty(),
        )
        when (val result = queue.offer(request)) {
            OfferResult.Queued -> Unit
            OfferResult.Full -> request.refuse(RefusalReason.QUEUE_FULL)
            is OfferResult.QueuedAfterEviction -> result.evicted.refuse(RefusalReason.QUEUE_FULL)
        }
        return request
    }

    /** Removes a completed or cancelled request from the queue. */
    fun withdraw(request: QueuedRequest<Waiter>) {
        queue.remove(request)
    }

    /** Assigns queued requests to workers with free capacity. */
    fun dispatch() {
        while (queue.poll(::tryAssign) != null) Unit
    }

    /** Whether the upstream has a usable worker that is not [excluded], with or without free capacity. */
    fun hasUsableWorker(excluded: Set<String>): Boolean = usable().any { it.worker.id !in excluded }

    private fun tryAssign(request: QueuedRequest<Waiter>): TakeResult {
        val waiter = request.payload
        val now = clock.millis()
        val candidates = usable()
            .filter { it.worker.id !in waiter.ticket.excludedWorkers }
            .map { it.candidate(settings.isBounded, now) }
        return when (val selection = selector.select(candidates, waiter.ticket.prefix, now)) {
            WorkerSelection.AllFull, WorkerSelection.NoWorker -> TakeResult.BLOCKED
            is WorkerSelection.Chosen -> {
                val worker = workers.getValue(selection.worker)
                waiter.decision.complete(DispatchDecision.Granted(grant(this, worker, waiter.ticket.fingerprint)))
                TakeResult.TAKEN
            }
        }
    }

    private fun QueuedRequest<Waiter>.refuse(reason: RefusalReason) {
        payload.decision.complete(DispatchDecision.Refused(reason, RETRY_AFTER_MILLIS))
    }

    companion object {
        /** Time after which a refused caller is advised to retry. */
        const val RETRY_AFTER_MILLIS = 1_000L
    }
}
