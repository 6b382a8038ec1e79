package org.poplarshift.serving.scheduling

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Job
import kotlinx.coroutines.withTimeoutOrNull
import org.poplarshift.core.dispatch.HeldSlot
import org.poplarshift.core.dispatch.NodeMessage
import org.poplarshift.core.dispatch.RequestSize
import org.poplarshift.core.dispatch.RunObservation
import org.poplarshift.core.dispatch.SchedulerMessage
import org.poplarshift.core.dispatch.SlotOutcome
import org.poplarshift.core.dispatch.SlotScheduler
import org.poplarshift.core.dispatch.SlotUse
import org.poplarshift.core.dispatch.WorkerIncarnation
import org.poplarshift.serving.BackgroundTasks
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.serving.fleet.FleetMember
import org.poplarshift.serving.peer.PeerReachability

/** The answer of a scheduler to a request for a slot. */
sealed interface LinkResult {
    /** The request has a slot at [worker], whose rate limit is [requestsPerSecond] as far as the scheduler knows. */
    data class Granted(val worker: String, val requestsPerSecond: Double?) : LinkResult

    /** The scheduler of [zone] has more capacity. */
    data class Redirected(val zone: String) : LinkResult

    /** No worker could serve the request. */
    data object NoWorker : LinkResult

    /** No slot became free within the wait time, or none can be expected. The caller may retry after [retryMillis]. */
    data class NoCapacity(val retryMillis: Long? = null) : LinkResult

    /** The request exceeds the rate limit of its organisation. */
    data class RateExceeded(val retryMillis: Long) : LinkResult

    /** The scheduler does not respond. */
    data object Unavailable : LinkResult
}

/**
 * A slot that this node uses.
 *
 * @property sinceMillis monotonic time in milliseconds at which it was granted
 */
class UsedSlot(
    val number: Long,
    val use: SlotUse,
    val worker: String,
    val onTimeUntilMillis: Long,
    val onPreempt: () -> Unit,
    val route: String?,
    val size: RequestSize?,
    val sinceMillis: Long,
)

/**
 * This node's connection to the scheduler of one service in one availability zone.
 *
 * @param statements what this node knows from workers and tells the scheduler, and the other way round
 * @param preferred returns the node that is to run the scheduler, or null if none can be reached
 */
class SchedulerLink(
    private val tasks: BackgroundTasks,
    private val clock: MonotonicClock,
    private val self: String,
    private val service: String,
    private val connector: SchedulerConnector,
    private val reachability: PeerReachability,
    private val statements: WorkerStatements,
    private val preferred: () -> FleetMember?,
) {
    private class PendingRequest {
        val acknowledged = CompletableDeferred<Unit>()
        val result = CompletableDeferred<LinkResult>()
    }

    private inner class Receiver : SchedulerReceiver {
        override fun onMessage(message: SchedulerMessage) {
            when {
                // True on any connection, also before this node uses it.
                message is SchedulerMessage.Leaving -> statements.onLeaving(message.workers)
                this === receiver -> handle(message)
            }
        }

        override fun onClosed() {
            if (this === receiver) disconnect()
        }
    }

    private val pending = LinkedHashMap<Long, PendingRequest>()
    private val slots = LinkedHashMap<Long, UsedSlot>()
    private var channel: SchedulerChannel? = null
    private var receiver: Receiver? = null
    private var scheduler: FleetMember? = null
    private var connecting: Job? = null
    private var heardMillis = 0L
    private var sentMillis = 0L
    private var failedMillis = Long.MIN_VALUE / 2

    /** Number of requests that wait for an answer or for a slot. */
    val waiting: Int
        get() = pending.size

    /** Requests a slot and waits up to [waitMillis] for it. */
    suspend fun acquire(request: NodeMessage.Acquire, waitMillis: Long): LinkResult {
        val connected = connect() ?: return LinkResult.Unavailable
        val entry = PendingRequest()
        pending[request.number] = entry
        var isDecided = false
        try {
            send(connected, request)
            val isAcknowledged = withTimeoutOrNull(RESPONSE_TIMEOUT_MILLIS) { entry.acknowledged.await() } != null
            if (!isAcknowledged) onSilence()
            val result = withTimeoutOrNull(waitMillis.coerceAtLeast(1)) { entry.result.await() }
            isDecided = result != null
            return result ?: LinkResult.NoCapacity()
        } finally {
            pending.remove(request.number)
            if (!isDecided) channel?.let { send(it, NodeMessage.Release(request.number, SlotOutcome.UNUSED)) }
        }
    }

    /** Records a slot that this node uses, so that it is stated when the node connects to another scheduler. */
    fun onUsed(slot: UsedSlot) {
        slots[slot.number] = slot
    }

    /** Gives up the slot [number]. */
    fun release(number: Long, outcome: SlotOutcome, run: RunObservation? = null) {
        slots.remove(number)
        channel?.let { send(it, NodeMessage.Release(number, outcome, run)) }
    }

    /** Tells the scheduler the rate limit of [worker]. */
    fun reportRateLimit(worker: String, requestsPerSecond: Double?) {
        channel?.let { send(it, NodeMessage.RateLimit(worker, requestsPerSecond)) }
    }

    /** Tells the scheduler that work at [worker] takes [percent] of its usual time. */
    fun reportSlowness(worker: String, percent: Int) {
        channel?.let { send(it, NodeMessage.WorkerSlowness(worker, percent)) }
    }

    /** Tells the scheduler that [worker] leaves. Without a connection it is told when this node connects. */
    fun reportLeaving(worker: WorkerIncarnation) {
        channel?.let { send(it, NodeMessage.Leaving(worker)) }
    }

    /** Keeps the slots in use, detects a silent scheduler, and moves to a preferred one. Called in short intervals. */
    fun maintain() {
        val connected = channel
        if (connected == null) {
            if (slots.isNotEmpty()) startConnecting()
            return
        }
        val now = clock.millis()
        if (pending.isNotEmpty() && now - heardMillis > SILENCE_MILLIS) return onSilence()
        if (slots.isNotEmpty() && now - sentMillis > SlotScheduler.ALIVE_INTERVAL_MILLIS) {
            send(connected, NodeMessage.Alive)
        }
        if (scheduler?.name != preferred()?.name) startConnecting()
    }

    private fun send(target: SchedulerChannel, message: NodeMessage) {
        sentMillis = clock.millis()
        target.send(message)
    }

    private suspend fun connect(): SchedulerChannel? {
        channel?.let { return it }
        val job = startConnecting()
        // While nodes can't be reached, requests do not wait for each further attempt.
        if (clock.millis() >= failedMillis + FAILURE_MILLIS) withTimeoutOrNull(CONNECT_WAIT_MILLIS) { job.join() }
        return channel
    }

    private fun startConnecting(): Job {
        connecting?.takeIf { it.isActive }?.let { return it }
        return tasks.launchOnce("scheduler connection") { connectToPreferred() }.also { connecting = it }
    }

    private suspend fun connectToPreferred() {
        val member = preferred() ?: return
        val hello = NodeMessage.Hello(
            self,
            slots.values.map { it.toHeldSlot() },
            statements.rateLimits,
            statements.leaving(service),
        )
        val newReceiver = Receiver()
        val previousReceiver = receiver
        var newChannel: SchedulerChannel? = null
        try {
            newChannel = connector.connect(member, service, hello, newReceiver)
        } finally {
            if (newChannel == null) onConnectionFailed(member)
        }
        if (newChannel == null) return
        if (receiver !== previousReceiver) {
            newChannel.close()
            return
        }
        // The requests that wait at the previous scheduler are decided without one. This is rare.
        val previous = channel
        disconnect()
        previous?.close()
        channel = newChannel
        receiver = newReceiver
        scheduler = member
        heardMillis = clock.millis()
    }

    private fun onConnectionFailed(member: FleetMember) {
        reachability.onFailure(member.name)
        failedMillis = clock.millis()
    }

    private fun UsedSlot.toHeldSlot(): HeldSlot {
        val now = clock.millis()
        return HeldSlot(number, use, worker, onTimeUntilMillis - now, route, size, now - sinceMillis)
    }

    private fun handle(message: SchedulerMessage) {
        heardMillis = clock.millis()
        when (message) {
            is SchedulerMessage.Granted -> onGranted(message)
            is SchedulerMessage.Queued -> pending[message.number]?.acknowledged?.complete(Unit)
            is SchedulerMessage.Redirected -> decide(message.number, LinkResult.Redirected(message.zone))
            is SchedulerMessage.Refused -> decide(message.number, LinkResult.NoCapacity(message.retryMillis))
            is SchedulerMessage.RateExceeded -> decide(message.number, LinkResult.RateExceeded(message.retryMillis))
            is SchedulerMessage.NoWorker -> decide(message.number, LinkResult.NoWorker)
            is SchedulerMessage.Preempted -> slots[message.number]?.onPreempt?.invoke()
            is SchedulerMessage.Leaving, SchedulerMessage.Alive -> Unit
        }
    }

    private fun onGranted(message: SchedulerMessage.Granted) {
        val isWaiting = message.number in pending
        if (isWaiting) return decide(message.number, LinkResult.Granted(message.worker, message.requestsPerSecond))
        // The request has stopped waiting in the meantime.
        channel?.let { send(it, NodeMessage.Release(message.number, SlotOutcome.UNUSED)) }
    }

    private fun decide(number: Long, result: LinkResult) {
        val entry = pending[number] ?: return
        entry.result.complete(result)
        entry.acknowledged.complete(Unit)
    }

    // The connection may be dead although the node is alive, so the same node is tried again with a new one.
    private fun onSilence() {
        val silent = channel
        disconnect()
        silent?.close()
        startConnecting()
    }

    private fun disconnect() {
        channel = null
        receiver = null
        scheduler = null
        val lost = pending.values.toList()
        pending.clear()
        for (entry in lost) {
            entry.result.complete(LinkResult.Unavailable)
            entry.acknowledged.complete(Unit)
        }
    }

    private companion object {
        // Many times the delay between zones and the time that a busy scheduler needs for a message.
        const val RESPONSE_TIMEOUT_MILLIS = 150L
        const val CONNECT_WAIT_MILLIS = 150L

        // Several connection attempts, one to each candidate.
        const val FAILURE_MILLIS = 1_000L

        // A scheduler sends a message in a shorter interval while requests of the node wait.
        const val SILENCE_MILLIS = 800L
    }
}
