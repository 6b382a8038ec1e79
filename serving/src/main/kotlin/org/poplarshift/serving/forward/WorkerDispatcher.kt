package org.poplarshift.serving.forward

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.poplarshift.core.dispatch.WorkerBoard
import org.poplarshift.core.dispatch.WorkerSeat
import org.poplarshift.serving.MonotonicClock

/**
 * What a request needs from a worker.
 *
 * @property priority smaller goes first among waiting requests
 * @property headroom slots that it leaves free
 * @property excludedWorkers workers that it must not use
 * @property waitMillis how long it waits for room
 * @property dispatchDeadlineMillis monotonic milliseconds until which it can still be on time
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

/** The outcome of looking for a worker. */
sealed interface DispatchResult {
    /** The request may go to [target] and must be released there. */
    class Assigned(val target: WorkerSeat) : DispatchResult

    /** No worker of the service can take the request, however long it waits. */
    data object NoWorker : DispatchResult

    /** No worker had room in time. */
    data object NoCapacity : DispatchResult
}

/**
 * Gives requests to workers that have room, and keeps those that wait in order: by priority, then those that can still be on
 * time, then by arrival.
 *
 * In an overload, order of arrival alone would make every request late, because each waits as long as the queue is.
 */
class WorkerDispatcher(
    private val scope: CoroutineScope,
    private val board: WorkerBoard,
    private val clock: MonotonicClock,
    private val onChange: () -> Unit = {},
) {
    private class Waiter(val request: DispatchRequest, val sequence: Long) {
        val result = CompletableDeferred<DispatchResult>()
    }

    private val waiters = ArrayList<Waiter>()
    private var sequence = 0L
    private var isPolling = false

    /** Requests that wait for room, batch included. */
    val waiting: Int
        get() = waiters.size

    /** Online requests that wait for room, by service. */
    val waitingOnline: Map<String, Int>
        get() = waiters.filter { !it.request.isBatch }.groupingBy { it.request.service }.eachCount()

    /** What decides about requests to [service] now, for the log. */
    fun describe(service: String): String {
        val workers = board.available(service)
        val load = workers.sumOf { it.load(clock.millis()) }.toInt()
        return "workers=${workers.size},slots=${workers.sumOf { it.worker.slots }},load=$load,waiting=${waiters.size}"
    }

    /** Takes a target, waiting when none has room. */
    suspend fun acquire(request: DispatchRequest): DispatchResult {
        if (!board.hasWorker(request.service, request.excludedWorkers)) return DispatchResult.NoWorker
        if (waiters.none { it.precedes(request) }) tryAssign(request)?.let { return DispatchResult.Assigned(it) }
        if (request.waitMillis <= 0) return DispatchResult.NoCapacity
        return awaitAssignment(Waiter(request, sequence++))
    }

    /** Takes that the loads that other nodes have told have changed. */
    fun onPeerLoadsChanged() {
        if (waiters.isNotEmpty()) dispatchWaiting()
    }

    /** Ends a request at [target]. */
    fun release(target: WorkerSeat, isBatch: Boolean) {
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

    // The target may have been given in the same moment in which the time ran out or the request was cancelled.
    @OptIn(kotlinx.coroutines.ExperimentalCoroutinesApi::class)
    private fun resultOf(waiter: Waiter): DispatchResult? =
        if (waiter.result.isCompleted) waiter.result.getCompleted() else null

    private fun Waiter.precedes(other: DispatchRequest): Boolean = request.service == other.service &&
        (
            request.priority < other.priority ||
                (request.priority == other.priority && request.dispatchDeadlineMillis > clock.millis())
            )

    private fun tryAssign(request: DispatchRequest): WorkerSeat? =
        board.choose(request.service, request.headroom, request.excludedWorkers, clock.millis())?.also {
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
                !board.hasWorker(request.service, request.excludedWorkers) -> DispatchResult.NoWorker
                else -> tryAssign(request)?.let { DispatchResult.Assigned(it) }
            } ?: continue
            waiters.remove(waiter)
            waiter.result.complete(result)
        }
    }

    // Room that other nodes leave shows only by time, as the estimate of their load fades.
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
        // A small part of the time in which a first event is on time.
        const val POLL_INTERVAL_MILLIS = 10L
    }
}
