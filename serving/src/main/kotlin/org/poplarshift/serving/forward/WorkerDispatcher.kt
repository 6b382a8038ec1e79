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
 * What a request needs from a worker.
 *
 * @property rank smaller goes first among waiting requests
 * @property headroom slots that it leaves free
 * @property excluded workers that it must not use
 * @property waitMillis how long it waits for room
 * @property onTimeMillis monotonic milliseconds until which it can still be on time
 */
data class SeatDemand(
    val service: String,
    val rank: Int,
    val waitMillis: Long,
    val excluded: Set<String> = emptySet(),
    val headroom: Int = 0,
    val isBatch: Boolean = false,
    val onTimeMillis: Long = Long.MAX_VALUE,
)

/** The outcome of looking for a worker. */
sealed interface SeatResult {
    /** The request may go to [seat] and must be released there. */
    class Taken(val seat: WorkerState) : SeatResult

    /** No worker of the service can take the request, however long it waits. */
    data object NoWorker : SeatResult

    /** No worker had room in time. */
    data object NoRoom : SeatResult
}

/**
 * Gives requests to workers that have room, and keeps those that wait in order: by rank, then those that can still be on
 * time, then by arrival.
 *
 * In an overload, order of arrival alone would make every request late, because each waits as long as the queue is.
 */
class WorkerDispatcher(
    private val scope: CoroutineScope,
    private val board: LoadBalancer,
    private val clock: MonotonicClock,
    private val onChange: () -> Unit = {},
) {
    private class Waiter(val demand: SeatDemand, val sequence: Long) {
        val seat = CompletableDeferred<SeatResult>()
    }

    private val waiters = ArrayList<Waiter>()
    private var sequence = 0L
    private var isTicking = false

    /** Requests that wait for room, batch included. */
    val waiting: Int
        get() = waiters.size

    /** Online requests that wait for room, by service. */
    val waitingOnline: Map<String, Int>
        get() = waiters.filter { !it.demand.isBatch }.groupingBy { it.demand.service }.eachCount()

    /** What decides about requests to [service] now, for the log. */
    fun describe(service: String): String {
        val seats = board.available(service)
        val load = seats.sumOf { it.load(clock.millis()) }.toInt()
        return "workers=${seats.size},slots=${seats.sumOf { it.worker.slots }},load=$load,waiting=${waiters.size}"
    }

    /** Takes a seat, waiting when none has room. */
    suspend fun acquire(demand: SeatDemand): SeatResult {
        if (!board.hasWorker(demand.service, demand.excluded)) return SeatResult.NoWorker
        if (waiters.none { it.isBefore(demand) }) take(demand)?.let { return SeatResult.Taken(it) }
        if (demand.waitMillis <= 0) return SeatResult.NoRoom
        return await(Waiter(demand, sequence++))
    }

    /** Takes that the loads that other nodes have told have changed. */
    fun onPeersChanged() {
        if (waiters.isNotEmpty()) serveWaiters()
    }

    /** Ends a request at [seat]. */
    fun release(seat: WorkerState, isBatch: Boolean) {
        seat.onEnded(isBatch)
        onChange()
        if (waiters.isNotEmpty()) serveWaiters()
    }

    private suspend fun await(waiter: Waiter): SeatResult {
        waiters.add(waiter)
        onChange()
        tick()
        try {
            return withTimeoutOrNull(waiter.demand.waitMillis) { waiter.seat.await() } ?: taken(waiter)
                ?: SeatResult.NoRoom
        } catch (exception: CancellationException) {
            taken(waiter)?.let { if (it is SeatResult.Taken) release(it.seat, waiter.demand.isBatch) }
            throw exception
        } finally {
            waiters.remove(waiter)
        }
    }

    // The seat may have been given in the same moment in which the time ran out or the request was cancelled.
    @OptIn(kotlinx.coroutines.ExperimentalCoroutinesApi::class)
    private fun taken(waiter: Waiter): SeatResult? = if (waiter.seat.isCompleted) waiter.seat.getCompleted() else null

    private fun Waiter.isBefore(other: SeatDemand): Boolean = demand.service == other.service &&
        (demand.rank < other.rank || (demand.rank == other.rank && demand.onTimeMillis > clock.millis()))

    private fun take(demand: SeatDemand): WorkerState? =
        board.choose(demand.service, demand.headroom, demand.excluded, clock.millis())?.also {
            it.onSent(demand.isBatch)
            onChange()
        }

    private fun serveWaiters() {
        val now = clock.millis()
        val order = compareBy<Waiter>({ it.demand.rank }, { it.demand.onTimeMillis <= now }, { it.sequence })
        for (waiter in waiters.sortedWith(order)) {
            val demand = waiter.demand
            val result = when {
                !board.hasWorker(demand.service, demand.excluded) -> SeatResult.NoWorker
                else -> take(demand)?.let { SeatResult.Taken(it) }
            } ?: continue
            waiters.remove(waiter)
            waiter.seat.complete(result)
        }
    }

    // Room that other nodes leave shows only by time, as the estimate of their load fades.
    private fun tick() {
        if (isTicking) return
        isTicking = true
        scope.launch {
            while (waiters.isNotEmpty()) {
                delay(TICK_MILLIS)
                serveWaiters()
            }
            isTicking = false
        }
    }

    private companion object {
        // A small part of the time in which a first event is on time.
        const val TICK_MILLIS = 10L
    }
}
