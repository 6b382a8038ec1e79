package org.poplarshift.serving.forward

import org.poplarshift.core.dispatch.RequestSize
import org.poplarshift.core.dispatch.RunObservation
import org.poplarshift.core.dispatch.SlotOutcome
import org.poplarshift.core.dispatch.SlotUse
import org.poplarshift.core.dispatch.WorkerState
import org.poplarshift.core.stream.VersionRequirement

/**
 * A request to be assigned to a worker.
 *
 * @property priority position in the queue; smaller values are dispatched first
 * @property waitMillis maximum time in milliseconds to wait for a free slot
 * @property excludedWorkers ids of workers that must not be chosen
 * @property allowedRegions regions whose workers may be chosen, or null for all
 * @property onTimeUntilMillis latest monotonic time in milliseconds of a dispatch that meets the target latency, or the
 *   time at which a batch item is due
 * @property onPreempt called when a batch item must give up its slot
 * @property organisation the organisation that the request belongs to, or null
 * @property needsToken whether the request needs a token of its organisation's rate limit
 * @property route name of the route, or null
 * @property versions the software versions of the workers that may be chosen
 * @property size the size of a request to an inference engine, or null
 */
data class DispatchRequest(
    val service: String,
    val priority: Int,
    val waitMillis: Long,
    val use: SlotUse = SlotUse.ONLINE,
    val excludedWorkers: Set<String> = emptySet(),
    val onTimeUntilMillis: Long = Long.MAX_VALUE / 2,
    val onPreempt: () -> Unit = {},
    val organisation: String? = null,
    val needsToken: Boolean = false,
    val route: String? = null,
    val size: RequestSize? = null,
    val allowedRegions: Set<String>? = null,
    val versions: VersionRequirement = VersionRequirement.Any,
)

/** The outcome of a [DispatchRequest]. */
sealed interface DispatchResult {
    /** A slot is reserved; the receiver must release it. */
    class Assigned(val slot: AssignedSlot) : DispatchResult

    /** The service has no worker that could serve the request, even after waiting. */
    data object NoWorker : DispatchResult

    /** No worker had a free slot within the wait time, or none can be expected. The caller may retry after [retryMillis]. */
    data class NoCapacity(val retryMillis: Long? = null) : DispatchResult

    /** The request exceeds the rate limit of its organisation. The caller may retry after [retryMillis]. */
    data class RateExceeded(val retryMillis: Long) : DispatchResult
}

/**
 * A slot at the worker [target] that is reserved for a request of this node.
 *
 * @property zone the availability zone whose scheduler has granted the slot, or null if this node chose it alone
 * @property requestsPerSecond the worker's rate limit for which the scheduler has accounted, or null
 */
class AssignedSlot(
    val number: Long,
    val service: String,
    val zone: String?,
    val target: WorkerState,
    use: SlotUse,
    val requestsPerSecond: Double? = null,
) {
    /** Version of the worker's software when the slot was assigned, which meets [DispatchRequest.versions]. */
    val softwareVersion = target.worker.softwareVersion

    /** Whether the worker may run another software version, because its registry entry has changed since then. */
    val mayHaveOtherVersion: Boolean
        get() = target.isReplaced || target.worker.softwareVersion != softwareVersion

    /** Whether a batch item uses the slot. */
    val isBatch = use != SlotUse.ONLINE
}

/** Assigns requests to workers with free slots and queues the other requests. */
interface Dispatcher {
    /** Number of requests of this node that wait for a slot. */
    val waiting: Int

    /** Whether [service] has a worker that accepts requests, with or without free slots. */
    fun hasWorker(service: String): Boolean

    /** Reserves a slot at a worker; waits up to [DispatchRequest.waitMillis] when all workers are full. */
    suspend fun acquire(request: DispatchRequest): DispatchResult

    /** Releases [slot] and reports the [outcome] of its use and the [run], if there was one. */
    fun release(slot: AssignedSlot, outcome: SlotOutcome = SlotOutcome.USED, run: RunObservation? = null)

    /** Records the rate limit in requests per second that the worker of [slot] states, or null if it states none. */
    fun onRateLimit(slot: AssignedSlot, requestsPerSecond: Double?)

    /** Records that work at the worker of [slot] takes [percent] of its usual time, as the worker states. */
    fun onSlowness(slot: AssignedSlot, percent: Int)

    /** Records that the worker of [slot] states that it leaves. Returns whether this was not known before. */
    fun onLeaving(slot: AssignedSlot): Boolean

    /** Describes the workers and the load of [service] for the log. */
    fun describe(service: String): String
}
