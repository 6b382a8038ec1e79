package org.poplarshift.verification.fleet

import org.poplarshift.core.catalogue.Organisation
import org.poplarshift.core.ownership.SlotKeeper
import org.poplarshift.core.ownership.VmIdentity
import org.poplarshift.core.quota.KeeperSlotHolding
import org.poplarshift.core.quota.LocalQuota
import org.poplarshift.core.quota.QuotaBook

/**
 * One process of a VM. A paused process runs nothing until [pausedUntilMicros]; an ended one runs nothing any more.
 *
 * @param clockRate how fast the process's clock runs against true time
 */
class SimulatedVm(
    val index: Int,
    val identity: VmIdentity,
    settings: FleetSettings,
    private val time: VirtualTime,
    private val clockRate: Double,
    private val clockStartMillis: Long,
) {
    val keeper = SlotKeeper(identity, settings.slotTimes)
    val book = QuotaBook(KeeperSlotHolding(identity, keeper), settings.quotaTimes)
    val shares = settings.shares()
    val localQuota = LocalQuota(settings.zones * settings.vmsPerZone, clockStartMillis - BUCKET_FILL_MILLIS)
    val waitingRequests = mutableMapOf<String, ArrayDeque<WaitingRequest>>()
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
        const val BUCKET_FILL_MILLIS = 3_600_000L
    }
}

/** A request that waits for a token until [deadlineMillis] of its VM's clock. */
class WaitingRequest(val organisation: Organisation, val deadlineMillis: Long)
