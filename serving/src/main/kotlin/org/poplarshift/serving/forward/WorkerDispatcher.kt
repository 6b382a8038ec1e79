package org.poplarshift.serving.forward

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.poplarshift.core.dispatch.LoadBalancer
import org.poplarshift.core.dispatch.WorkerState
import org.poplarshift.serving.MonotonicClock

/**
 * A request to be assigned to a worker.
 *
 * @property priority position in the queue; smaller values are dispatched first
 * @property waitMillis maximum time in milliseconds to wait for a free slot
 * @property excludedWorkers ids of workers that must not be chosen
 * @property headroom number of slots that must stay free at the chosen worker
 * @property dispatchDeadlineMillis latest monotonic time in milliseconds of a dispatch that meets the target latency
 */
data class DispatchRequest(
    val service: String,
    val priority: Int,
    val waitMillis: Long,
    val excludedWorkers: Set<String> = emptySet(),
    val headroom: Int = 0,
    val isBatch: Boolean = false,
    val dispatchDeadlineMillis: Long = Long.MAX_VALUE,
)

/** The outcome of a [DispatchRequest]. */
sealed interface DispatchResult {
    /** A slot of [target] is reserved; the receiver must release it. */
    class Assigned(val target: WorkerState) : DispatchResult

    /** The service has no worker that could serve the request, even after waiting. */
    data object NoWorker : DispatchResult

    /** No worker had a free slot within the wait time. */
    data object NoCapacity : DispatchResult
}

/**
 * Assigns requests to workers with free slots and queues the other requests.
 *
 * The queue is ordered by priority. Requests that can still meet their target latency precede those that can't. The
 * order of arrival comes last: under overload it alone would delay every request by the length of the whole queue, so
 * that all of them would be late.
 */
class WorkerDispatcher(
    private val scope: CoroutineScope,
    private val loadBalancer: LoadBalancer,
    private val clock: MonotonicClock,
    private val onChange: () -> Unit = {},
) {
    private class Waiter(val request: DispatchRequest, val sequence: Long) {
        val result = CompletableDeferred<DispatchResult>()
    }

    private val waiters = ArrayList<Waiter>()
    private var sequence = 0L
    private var isPolling = false

    /** Number of queued requests, including batch requests. */
    val waiting: Int
        get() = waiters.size

    /** Number of queued online requests by service. */
    val waitingOnline: Map<String, Int>
        get() = waiters.filter { !it.request.isBatch }.groupingBy { it.request.service }.eachCount()

    /** Describes the workers and the load of [service] for the log. */
    fun describe(service: String): String {
        val workers = loadBalancer.available(service)
        val load = workers.sumOf { it.load(clock.millis()) }.toInt()
        return "workers=${workers.size},slots=${workers.sumOf { it.worker.slots }},load=$load,waiting=${waiters.size}"
    }

    /** Reserves a slot at a worker; waits up to [DispatchRequest.waitMillis] when all workers are full. */
    suspend fun acquire(request: DispatchRequest): DispatchResult {
        if (!loadBalancer.hasWorker(request.service, request.excludedWorkers)) return DispatchResult.NoWorker
        if (waiters.none { it.precedes(request) }) tryAssign(request)?.let { return DispatchResult.Assigned(it) }
        if (request.waitMillis <= 0) return DispatchResult.NoCapacity
        return awaitAssignment(Waiter(request, sequence++))
    }

    /** Dispatches queued requests after the loads reported by other nodes have changed. */
    fun onPeerLoadsChanged() {
        if (waiters.isNotEmpty()) dispatchWaiting()
    }

    /** Releases a slot of [target] after its request has ended. */
    fun release(target: WorkerState, isBatch: Boolean) {
        target.onEnded(isBatch)
        onChange()
        if (waiters.isNotEmpty()) dispatchWaiting()
    }

    private suspend fun awaitAssignment(waiter: Waiter): DispatchResult {
        waiters.add(waiter)
        onChange()
        startPolling()
        try {
            return withTimeoutOrNull(waiter.request.waitMillis) { waiter.result.await() } ?: resultOf(waiter)
                ?: DispatchResult.NoCapacity
        } catch (exception: CancellationException) {
            resultOf(waiter)?.let { if (it is DispatchResult.Assigned) release(it.target, waiter.request.isBatch) }
            throw exception
        } finally {
            waiters.remove(waiter)
        }
    }

    // A slot may have been assigned at the moment of the timeout or cancellation.
    @OptIn(kotlinx.coroutines.ExperimentalCoroutinesApi::class)
    private fun resultOf(waiter: Waiter): DispatchResult? =
        if (waiter.result.isCompleted) waiter.result.getCompleted() else null

    private fun Waiter.precedes(other: DispatchRequest): Boolean = request.service == other.service &&
        (
            request.priority < other.priority ||
                (request.priority == other.priority && request.dispatchDeadlineMillis > clock.millis())
            )

    private fun tryAssign(request: DispatchRequest): WorkerState? =
        loadBalancer.choose(request.service, request.headroom, request.excludedWorkers, clock.millis())?.also {
            it.onSent(request.isBatch)
            onChange()
        }

    private fun dispatchWaiting() {
        val now = clock.millis()
        val order =
            compareBy<Waiter>({ it.request.priority }, { it.request.dispatchDeadlineMillis <= now }, { it.sequence })
        for (waiter in waiters.sortedWith(order)) {
            val request = waiter.request
            val result = when {
                !loadBalancer.hasWorker(request.service, request.excludedWorkers) -> DispatchResult.NoWorker
                else -> tryAssign(request)?.let { DispatchResult.Assigned(it) }
            } ?: continue
            waiters.remove(waiter)
            waiter.result.complete(result)
        }
    }

    // A slot may also become free because the estimated load of other nodes decays. No event signals this, so the queue
    // is polled.
    private fun startPolling() {
        if (isPolling) return
        isPolling = true
        scope.launch {
            while (waiters.isNotEmpty()) {
                delay(POLL_INTERVAL_MILLIS)
                dispatchWaiting()
            }
            isPolling = false
        }
    }

    private companion object {
        // A small fraction of the target latency for a first event.
        const val POLL_INTERVAL_MILLIS = 10L
    }
}
