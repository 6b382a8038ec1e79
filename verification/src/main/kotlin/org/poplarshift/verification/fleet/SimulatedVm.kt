package org.poplarshift.verification.fleet

import org.poplarshift.core.catalogue.Organisation
import org.poplarshift.core.ownership.OwnershipProtocol
import org.poplarshift.core.ownership.VmIdentity
import org.poplarshift.core.quota.FleetRateLimiter
import org.poplarshift.core.quota.LocalQuota
import org.poplarshift.core.quota.OwnershipSlotHolding

/**
 * One incarnation of a node on a VM. A paused node runs no action until [pausedUntilMicros], and an ended one never
 * does.
 *
 * @param clockRate rate of the node's clock relative to virtual time
 */
class SimulatedVm(
    val index: Int,
    val identity: VmIdentity,
    settings: FleetSettings,
    private val time: VirtualTime,
    private val clockRate: Double,
    private val clockStartMillis: Long,
) {
    val keeper = OwnershipProtocol(identity, settings.slotTimes)
    val book = FleetRateLimiter(OwnershipSlotHolding(identity, keeper), settings.quotaTimes)
    val shares = settings.shares()
    val localQuota = LocalQuota(settings.zones * settings.vmsPerZone, clockStartMillis - BUCKET_FILL_MILLIS)
    val waitingRequests = mutableMapOf<String, ArrayDeque<WaitingRequest>>()
    var pausedUntilMicros = 0L
    var isEnded = false
    var isLeaving = false

    /** Returns the time of this node's monotonic clock. */
    fun nowMillis(): Long = clockStartMillis + (time.nowMicros * clockRate / 1_000).toLong()

    /** Runs [action] immediately, or after the pause if paused, or never if ended. */
    fun run(action: () -> Unit) {
        when {
            isEnded -> Unit
            time.nowMicros < pausedUntilMicros -> time.after(pausedUntilMicros - time.nowMicros) { run(action) }
            else -> action()
        }
    }

    private companion object {
        const val BUCKET_FILL_MILLIS = 3_600_000L
    }
}

/** A request that waits for a token until [deadlineMillis] on the clock of its node. */
class WaitingRequest(val organisation: Organisation, val deadlineMillis: Long)
