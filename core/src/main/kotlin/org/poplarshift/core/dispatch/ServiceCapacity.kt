package org.poplarshift.core.dispatch

import kotlinx.serialization.Serializable

/**
 * The capacity that the workers of one service in one availability zone have left.
 *
 * @property workers number of workers that accept requests
 * @property free number of free slots
 * @property spare free slots beyond those that are reserved for online requests, negative when fewer are free
 * @property preemptible number of slots that batch items give up when online requests wait
 * @property waiting number of online requests that wait for a slot
 */
@Serializable
data class ServiceCapacity(val workers: Int, val free: Int, val spare: Int, val preemptible: Int, val waiting: Int) {
    /** Number of online requests that could start at once or after a preemption. */
    val onlineSlots: Int
        get() = if (workers == 0) 0 else free + preemptible - waiting
}
