package org.poplarshift.verification.soak

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.poplarshift.standins.store.StoreFaults
import org.poplarshift.standins.worker.RegisteredWorker
import kotlin.random.Random

/** Injects faults into the fleet, several at a time. Used on one event loop. */
class FaultInjector(
    private val scope: CoroutineScope,
    private val random: Random,
    private val fleet: SoakFleet,
    private val callers: CallerLoad,
    private val submissions: SubmissionLoad,
) {
    private val startMillis = SoakFleet.now()

    /** The injected faults with their times. */
    val history = ArrayList<String>()

    /** The planned stops that ended without another disturbance. */
    val stops = ArrayList<PlannedStop>()

    /** The workers that have left as planned. */
    val drains = ArrayList<Drain>()

    /** Injects [fault] in the background. */
    fun inject(fault: SoakFault) {
        scope.launch {
            history += "${SoakFleet.now() - startMillis} ms: $fault"
            apply(fault)
        }
    }

    private suspend fun apply(fault: SoakFault) = when (fault) {
        is SoakFault.Kill -> pickNodes(fault.count).forEach { kill(it) }
        is SoakFault.KillAll -> killAll(fault)
        is SoakFault.Pause -> pause(pickNodes(1).first(), fault.millis)
        is SoakFault.Terminate -> terminate(fault)
        is SoakFault.HangUp -> hangUp(pickNodes(1).first(), fault.count)
        is SoakFault.Store -> disturbStore(fault)
        is SoakFault.Link -> disturbLink(fleet.nodes[fault.node], fault)
        SoakFault.ForgetHistory -> fleet.store.forgetHistory()
        SoakFault.Redistribute -> fleet.store.redistribute()
        is SoakFault.Responses -> disturbResponses(fault)
        SoakFault.WorkerCrash -> replace(crashWorker())
        is SoakFault.WorkerRestart -> restartWorker(fault)
        SoakFault.AddressTaken -> fleet.workers.takeAddress(fleet.workers.running.random(random))
        SoakFault.WorkerDrain -> drainWorker()
        is SoakFault.Release -> release(fault)
        is SoakFault.WorkerSlow -> slowWorker(fault)
        SoakFault.ReplaceKey -> replaceKey()
        is SoakFault.Configurations -> writeConfigurations(fault.count)
        is SoakFault.HotOrganisation -> {
            callers.limitedFactor = fault.factor
            delay(fault.millis)
            callers.limitedFactor = 1
        }

        is SoakFault.SubmissionBurst -> {
            submissions.burst = fault.burst
            delay(fault.millis)
            submissions.burst = 1
        }
    }

    private fun pickNodes(count: Int): List<SoakNode> = fleet.nodes.shuffled(random).take(count)

    private suspend fun disturb(subject: String, action: suspend () -> Unit) {
        val end = fleet.disturbances.begin(subject, SoakFleet.now())
        try {
            action()
        } finally {
            end(SoakFleet.now())
        }
    }

    private suspend fun kill(node: SoakNode) = disturb(node.name) {
        node.isEndExpected = true
        node.process.kill()
    }

    private suspend fun killAll(fault: SoakFault.KillAll) {
        fleet.nodes.forEach { it.isHeldDown = true }
        fleet.nodes.forEach { kill(it) }
        delay(fault.downMillis)
        fleet.nodes.forEach { it.isHeldDown = false }
    }

    private suspend fun pause(node: SoakNode, millis: Long) = disturb(node.name) {
        node.process.signal("STOP")
        delay(millis)
        node.process.signal("CONT")
    }

    private suspend fun terminate(fault: SoakFault.Terminate) = pickNodes(fault.count).forEach { node ->
        if (node.process.isAlive && node.terminatedMillis == null) scope.launch { stopAsPlanned(node) }
        delay(fault.gapMillis)
    }

    private suspend fun stopAsPlanned(node: SoakNode) {
        val sentMillis = SoakFleet.now()
        node.terminatedMillis = sentMillis
        node.isEndExpected = true
        node.process.signal("TERM")
        while (node.process.isAlive && SoakFleet.now() - sentMillis < SHUTDOWN_MILLIS) delay(POLL_MILLIS)
        val endMillis = SoakFleet.now()
        if (!fleet.disturbances.isCalm(node.name, sentMillis, endMillis)) return kill(node)
        stops += PlannedStop(node.name, sentMillis, endMillis)
        if (node.process.isAlive) {
            fleet.ledger.report(
                Promise.PLANNED_STOP,
                "${node.name} still runs ${endMillis - sentMillis} ms after SIGTERM",
            )
            kill(node)
        } else if (node.process.exitCode != 0) {
            fleet.ledger.report(Promise.PLANNED_STOP, "${node.name} ended with ${node.process.exitCode} after SIGTERM")
        }
    }

    // A JVM that has not reached the program yet ends on SIGHUP.
    private suspend fun hangUp(node: SoakNode, count: Int) = repeat(count) {
        if (SoakFleet.now() - node.process.startedMillis > JVM_START_MILLIS) node.process.signal("HUP")
        delay(random.nextLong(MAXIMUM_SIGNAL_GAP_MILLIS))
    }

    private suspend fun disturbStore(fault: SoakFault.Store) = disturb(Disturbances.STORE) {
        val affected = pickNodes(fault.nodes)
        affected.forEach { fleet.store.applyFaults(it.name, fault.faults) }
        delay(fault.millis)
        affected.forEach { fleet.store.applyFaults(it.name, StoreFaults()) }
    }

    private suspend fun disturbLink(node: SoakNode, fault: SoakFault.Link) = disturb(node.name) {
        node.link.begin(fault.faults)
        delay(fault.millis)
        node.link.end(fault.faults)
    }

    private suspend fun disturbResponses(fault: SoakFault.Responses) {
        val active = fault.fault to fault.share
        fleet.workers.responseFaults += active
        delay(fault.millis)
        fleet.workers.responseFaults -= active
    }

    private suspend fun crashWorker(): RegisteredWorker =
        fleet.workers.running.random(random).also { fleet.workers.crash(it) }

    private suspend fun replace(worker: RegisteredWorker) {
        fleet.workers.startLike(worker)
        fleet.workers.renewEntries()
        delay(LAPSE_MILLIS)
        fleet.workers.removeEntry(worker)
    }

    private suspend fun restartWorker(fault: SoakFault.WorkerRestart) {
        val worker = fleet.workers.running.random(random)
        worker.crash()
        delay(fault.downMillis)
        fleet.workers.restart(worker)
    }

    private suspend fun drainWorker() {
        val worker = fleet.workers.running.filter { !it.isLeaving }.random(random)
        fleet.workers.startLike(worker)
        fleet.workers.renewEntries()
        leave(worker)
    }

    private suspend fun release(fault: SoakFault.Release) {
        fleet.workers.release(fault.count)
        delay(fault.millis)
        fleet.workers.oldestEngines(fault.count).forEach { worker -> scope.launch { leave(worker) } }
    }

    private suspend fun leave(worker: RegisteredWorker) {
        fleet.workers.drain(worker)
        drains += Drain(worker.id, SoakFleet.now())
        delay(DRAIN_MILLIS)
        fleet.workers.crash(worker)
        fleet.workers.removeEntry(worker)
    }

    private suspend fun slowWorker(fault: SoakFault.WorkerSlow) {
        val worker = fleet.workers.running.random(random)
        val usual = worker.paceMillis
        worker.paceMillis = fault.paceMillis
        delay(fault.millis)
        worker.paceMillis = usual
    }

    private suspend fun writeConfigurations(count: Int) = repeat(count) {
        fleet.writeConfiguration()
        delay(CONFIGURATION_GAP_MILLIS)
    }

    private fun replaceKey() {
        fleet.organisations.replaceKey(SoakFleet.now())
        fleet.writeConfiguration()
    }

    private companion object {
        const val POLL_MILLIS = 50L

        // The time between SIGTERM and SIGKILL.
        const val SHUTDOWN_MILLIS = 8_000L
        const val JVM_START_MILLIS = 2_000L
        const val MAXIMUM_SIGNAL_GAP_MILLIS = 300L
        const val CONFIGURATION_GAP_MILLIS = 100L

        // Three intervals of renewal.
        const val LAPSE_MILLIS = 3_600L

        // The time for which a leaving worker serves, and a little longer.
        const val DRAIN_MILLIS = 3_500L
    }
}
