package org.poplarshift.core.dispatch

import kotlinx.serialization.Serializable

/** Identifies a request for a slot by the node that made it and the node's own number for it. */
data class SlotKey(val node: String, val number: Long)

/** What a slot is used for. The order of the values is the order in which waiting requests receive slots. */
@Serializable
enum class SlotUse {
    /** A caller waits for the response. */
    ONLINE,

    /** A batch item that must run now to be on time. It uses reserved slots and is not preempted. */
    URGENT_BATCH,

    /** A batch item with time left. It leaves reserved slots free and is preempted when online requests wait. */
    BATCH,
}

/**
 * A request for a slot at a worker of one service.
 *
 * @property priority smaller values receive slots first among requests of the same use
 * @property onTimeUntilMillis for online requests the latest monotonic time in milliseconds of a dispatch that meets
 *   the target latency, for batch items the time at which the result is due
 * @property excludedWorkers ids of workers that must not be chosen
 * @property excludedZones availability zones whose workers must not be chosen
 * @property mayRedirect whether the request may be sent to another availability zone
 * @property organisation the organisation that the request belongs to, or null if it is not known
 * @property route name of the route, or null if it is not known
 * @property size the size of a request to an inference engine, or null
 * @property waitUntilMillis monotonic time in milliseconds until which the request waits, or null if it is not known
 */
data class SlotRequest(
    val key: SlotKey,
    val use: SlotUse,
    val priority: Int,
    val onTimeUntilMillis: Long,
    val excludedWorkers: Set<String> = emptySet(),
    val mayRedirect: Boolean = true,
    val organisation: String? = null,
    val route: String? = null,
    val size: RequestSize? = null,
    val waitUntilMillis: Long? = null,
    val excludedZones: Set<String> = emptySet(),
)

/**
 * A slot that is in use.
 *
 * @property grantedMillis monotonic time in milliseconds at which this scheduler granted the slot, or null if another one did
 */
class SlotLease(
    val key: SlotKey,
    val use: SlotUse,
    val worker: String,
    val onTimeUntilMillis: Long,
    val grantedMillis: Long? = null,
) {
    /** Monotonic time in milliseconds at which the node was asked to give the slot up, or null. */
    var preemptedMillis: Long? = null
        internal set
}
