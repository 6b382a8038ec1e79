package org.poplarshift.verification.fleet

import org.poplarshift.core.catalogue.Organisation
import org.poplarshift.core.ownership.VmIdentity
import kotlin.random.Random

/**
 * Runs the ownership and quota protocols of a fleet in virtual time. A run is determined by [seed] and [settings].
 * Each admission is checked against the rate bound of its organisation. With faults, each action is followed by a check
 * that no slot is usable at two VMs.
 */
class FleetSimulation(val seed: Long, val settings: FleetSettings) {
    val time = VirtualTime()
    val random = Random(seed)
    val network = SimulatedNetwork(time, random, settings.oneWayDelayMicros)
    val log = SimulatedLog()
    val vms = mutableListOf<SimulatedVm>()
    val results = settings.organisations.associate { it.id to OrganisationResult() }

    /** A description of the first violation, or null. */
    var violation: String? = null
        private set

    private val checks = settings.organisations.associate { it.id to RateBoundCheck(it) }
    private val minimumClockRate = 1 / (1 + MAXIMUM_CLOCK_DRIFT * random.nextDouble())
    private var incarnations = 0
    private val runtime = SimulatedNodeRuntime(this)
    private val callers = SimulatedCallers(this, runtime)
    private val faults = FaultSchedule(this, runtime)
    private var publishedAddresses = emptySet<String>()

    /** Runs for [seconds] of virtual time or until the first violation. */
    fun run(seconds: Int): FleetSimulation {
        if (settings.hasFaults) setMessageFaults(LOSS_RATES.random(random))
        repeat(settings.zones * settings.vmsPerZone) { index -> vms += createVm(index, "address-$index") }
        vms.forEach { runtime.start(it) }
        refreshList()
        settings.organisations.forEach { callers.start(it) }
        if (settings.hasFaults) faults.start()
        var end = 0L
        while (end < seconds * 1_000_000L && violation == null) {
            end += STEP_MICROS
            time.runUntil(end) { if (settings.hasFaults) checkExclusiveSlots() }
        }
        return this
    }

    private fun setMessageFaults(rate: Double) {
        network.lossRate = rate
        network.duplicateRate = rate
        network.lateRate = rate / 2
    }

    /** Ends the process on the VM [index] and starts a new incarnation with the peer address [address]. */
    fun replace(index: Int, address: String) {
        vms[index].isEnded = true
        vms[index] = createVm(index, address).also { runtime.start(it) }
    }

    /** Returns the peer addresses in the VM list that [vm] reads, or null if it cannot reach the platform. */
    fun listedAddresses(vm: SimulatedVm): Set<String>? =
        publishedAddresses.takeUnless { network.isPartitioned(vm.index, SimulatedNetwork.PLATFORM) }

    /** Counts an admission at the current time and checks it against the rate bound, unless limits are local. */
    fun recordAdmission(organisation: Organisation, vm: SimulatedVm) {
        results.getValue(organisation.id).admitted++
        val excess = checks.getValue(organisation.id).admit(time.nowMicros)
        if (excess > 0 && !settings.isLocalOnly) {
            recordViolation(
                "${organisation.id} exceeds its rate and burst by $excess millionths at ${vm.identity.incarnation}",
            )
        }
    }

    private fun createVm(index: Int, address: String): SimulatedVm {
        val identity = VmIdentity(
            vm = "vm-$index",
            incarnation = "vm-$index-${incarnations++}",
            availabilityZone = "zone-${index % settings.zones}",
            peerAddress = address,
        )
        val clockRate =
            if (settings.hasFaults) minimumClockRate * (1 + MAXIMUM_CLOCK_DRIFT * random.nextDouble()) else 1.0
        return SimulatedVm(index, identity, settings, time, clockRate, random.nextLong(1_000_000_000L))
    }

    /** Publishes, with a lag, the list of VMs that the platform can reach. */
    private fun refreshList() {
        val reachable = vms.filterNot { it.isEnded || network.isPartitioned(it.index, SimulatedNetwork.PLATFORM) }
        val addresses = reachable.map { it.identity.peerAddress }.toSet()
        time.after(LIST_LAG_MICROS) { publishedAddresses = addresses }
        if (publishedAddresses.isEmpty()) publishedAddresses = addresses
        time.after(LIST_PERIOD_MICROS) { refreshList() }
    }

    private fun checkExclusiveSlots() {
        val usable = vms.filterNot { it.isEnded }.flatMap { vm ->
            vm.keeper.leases().filter { it.isUsable(vm.nowMillis()) }.map { it.claim.slot to vm }
        }
        val duplicates = usable.groupBy({ it.first }, { it.second }).filterValues { it.size > 1 }
        duplicates.forEach { (slot, holders) ->
            recordViolation("$slot is usable at ${holders.map { it.identity.incarnation }}")
        }
    }

    private fun recordViolation(description: String) {
        if (violation == null) violation = "seed $seed: $description, after ${time.nowMicros} microseconds"
    }

    private companion object {
        /** Any two clocks differ in rate by at most 1%, including the clock of the simulation. */
        const val MAXIMUM_CLOCK_DRIFT = 0.01
        val LOSS_RATES = listOf(0.0, 0.002, 0.02)
        const val STEP_MICROS = 100_000L
        const val LIST_PERIOD_MICROS = 1_000_000L
        const val LIST_LAG_MICROS = 2_000_000L
    }
}

/** Request counts of one organisation. */
class OrganisationResult {
    var offered = 0L
    var admitted = 0L
    var refused = 0L
}
