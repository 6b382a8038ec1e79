package org.poplarshift.core.dispatch

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A message of a node to the scheduler of a service in an availability zone. Times are relative, in milliseconds. */
@Serializable
sealed interface NodeMessage {
    /**
     * The first message on a connection: the slots that the node uses, whoever granted them, the rate limits in
     * requests per second that workers have stated to it, by the ids of the workers, and the workers that leave.
     */
    @Serializable
    @SerialName("hello")
    data class Hello(
        val node: String,
        val leases: List<HeldSlot>,
        val rateLimits: Map<String, Double> = emptyMap(),
        val leaving: List<WorkerIncarnation> = emptyList(),
    ) : NodeMessage

    /**
     * Asks for a slot. See [SlotRequest]. A request with [needsToken] also asks for a token of its organisation's rate limit.
     * The workers of [excludedZones] are left out of [excludedWorkers].
     */
    @Serializable
    @SerialName("acquire")
    data class Acquire(
        val number: Long,
        val use: SlotUse,
        val priority: Int,
        val onTimeInMillis: Long,
        val excludedWorkers: Set<String> = emptySet(),
        val mayRedirect: Boolean = true,
        val organisation: String? = null,
        val needsToken: Boolean = false,
        val route: String? = null,
        val size: RequestSize? = null,
        val waitInMillis: Long? = null,
        val excludedZones: Set<String> = emptySet(),
    ) : NodeMessage

    /** Gives a slot up, or stops waiting for one. [run] describes the run that used the slot, if there was one. */
    @Serializable
    @SerialName("release")
    data class Release(
        val number: Long,
        val outcome: SlotOutcome = SlotOutcome.USED,
        val run: RunObservation? = null,
    ) : NodeMessage

    /** Work at [worker] takes [percent] of its usual time at this moment, as the worker states. */
    @Serializable
    @SerialName("slowness")
    data class WorkerSlowness(val worker: String, val percent: Int) : NodeMessage

    /** The rate limit that [worker] has stated differs from the one in the grant; null if there is none any more. */
    @Serializable
    @SerialName("rateLimit")
    data class RateLimit(val worker: String, val requestsPerSecond: Double? = null) : NodeMessage

    /** [worker] has stated to the node that it leaves. */
    @Serializable
    @SerialName("leaving")
    data class Leaving(val worker: WorkerIncarnation) : NodeMessage

    /** Keeps the slots of the node from expiring. */
    @Serializable
    @SerialName("alive")
    data object Alive : NodeMessage
}

/**
 * A slot that a node uses, as stated when it connects to a scheduler.
 *
 * @property usedMillis time for which the slot has been used
 */
@Serializable
data class HeldSlot(
    val number: Long,
    val use: SlotUse,
    val worker: String,
    val onTimeInMillis: Long,
    val route: String? = null,
    val size: RequestSize? = null,
    val usedMillis: Long = 0,
)

/** What a node observed at the worker whose slot it gives up. */
@Serializable
enum class SlotOutcome {
    /** The worker responded. */
    USED,

    /** The worker refused the request because it was full. */
    FULL,

    /** The worker could not be reached or was silent. */
    UNREACHABLE,

    /** The slot was not used. */
    UNUSED,
}

/** A message of a scheduler to a node. */
@Serializable
sealed interface SchedulerMessage {
    /** The request has a slot at [worker], whose rate limit is [requestsPerSecond] as far as the scheduler knows. */
    @Serializable
    @SerialName("granted")
    data class Granted(val number: Long, val worker: String, val requestsPerSecond: Double? = null) : SchedulerMessage

    /** The request waits for a slot. */
    @Serializable
    @SerialName("queued")
    data class Queued(val number: Long) : SchedulerMessage

    /** The request no longer waits here, because [zone] has more capacity. */
    @Serializable
    @SerialName("redirected")
    data class Redirected(val number: Long, val zone: String) : SchedulerMessage

    /** No worker could serve the request. */
    @Serializable
    @SerialName("noWorker")
    data class NoWorker(val number: Long) : SchedulerMessage

    /** The request is refused, because it could not get a slot in time. The caller may retry after [retryMillis]. */
    @Serializable
    @SerialName("refused")
    data class Refused(val number: Long, val retryMillis: Long) : SchedulerMessage

    /** The request exceeds the rate limit of its organisation. The caller may retry after [retryMillis]. */
    @Serializable
    @SerialName("rateExceeded")
    data class RateExceeded(val number: Long, val retryMillis: Long) : SchedulerMessage

    /** The batch item that uses the slot must give it up. */
    @Serializable
    @SerialName("preempted")
    data class Preempted(val number: Long) : SchedulerMessage

    /** [workers] have stated to some node that they leave. */
    @Serializable
    @SerialName("leaving")
    data class Leaving(val workers: List<WorkerIncarnation>) : SchedulerMessage

    /** States that the scheduler is alive while requests of the node wait. */
    @Serializable
    @SerialName("alive")
    data object Alive : SchedulerMessage
}
