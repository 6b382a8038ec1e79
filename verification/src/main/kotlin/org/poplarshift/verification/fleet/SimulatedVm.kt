package org.poplarshift.verification.fleet

import org.poplarshift.core.catalogue.Organisation
import org.poplarshift.core.ownership.OwnershipProtocol
import org.poplarshift.core.ownership.VmIdentity
import org.poplarshift.core.quota.FleetRateLimiter
import org.poplarshift.core.quota.LocalQuota
import org.poplarshift.core.quota.OwnershipSlotHolding

/**
 * One process of a VM. A paused process runs nothing until [pausedUntilMicros]; an ended one runs nothing any more.
 *
 * @param clockRate how fast the process's clock runs against true time
 */
class SimulatedVm(
    val place: Int,
    val identity: VmIdentity,
    settings: FleetSettings,
    private val time: VirtualTime,
    private val clockRate: Double,
    private val clockStartMillis: Long,
) {
    val keeper = OwnershipProtocol(identity, settings.slotTimes)
    val book = FleetRateLimiter(OwnershipSlotHolding(identity, keeper), settings.quotaTimes)
    val shares = settings.shares()
    val local = LocalQuota(settings.zones * settings.vmsPerZone, clockStartMillis - LONG_AGO_MILLIS)
    val waiting = mutableMapOf<String, ArrayDeque<WaitingRequest>>()
    var pausedUntilMicros = 0L
    var isEnded = false
    var isLeaving = false

    /** This process's monotonic clock. */
    fun nowMillis(): Long = clockStartMillis + (time.nowMicros * clockRate / 1_000).toLong()

    /** Runs [action] now, after the pause, or never when the process has ended. */
    fun run(action: () -> Unit) {
        when {
            isEnded -> Unit
            time.nowMicros < pausedUntilMicros -> time.after(pausedUntilMicros - time.nowMicros) { run(action) }
            else -> action()
        }
    }

    private companion object {
        const val LONG_AGO_MILLIS = 3_600_000L
    }
}

/** A request that waits for a token until [deadlineMillis] of its VM's clock. */
class WaitingRequest(val organisation: Organisation, val deadlineMillis: Long)
