package org.poplarshift.verification.fleet

import org.poplarshift.core.catalogue.Organisation
import org.poplarshift.core.ownership.VmIdentity
import kotlin.random.Random

/**
 * Runs the ownership and quota protocols of a whole fleet in virtual time. Everything that happens follows from
 * [seed]. After each step it checks the rate bound of every organisation and that no slot is usable at two VMs.
 */
class FleetSimulation(val seed: Long, val settings: FleetSettings) {
    val time = VirtualTime()
    val random = Random(seed)
    val network = SimulatedNetwork(time, random, settings.oneWayMicros)
    val log = SimulatedLog()
    val vms = mutableListOf<SimulatedVm>()
    val results = settings.organisations.associate { it.id to OrganisationResult() }

    /** What went wrong first, or null. */
    var violation: String? = null
        private set

    private val checks = settings.organisations.associate { it.id to RateBoundCheck(it) }
    private val slowestClock = 1 / (1 + CLOCK_SPAN * random.nextDouble())
    private var incarnations = 0
    private val process = SimulatedProcess(this)
    private val callers = SimulatedCallers(this, process)
    private val faults = FaultSchedule(this, process)
    private var listed = emptySet<String>()

    /** Runs for [seconds] of true time or until the first violation. */
    fun run(seconds: Int): FleetSimulation {
        if (settings.hasFaults) lose(LOST_SHARES.random(random))
        repeat(settings.zones * settings.vmsPerZone) { place -> vms += start(place, "address-$place") }
        vms.forEach { process.begin(it) }
        refreshList()
        settings.organisations.forEach { callers.begin(it) }
        if (settings.hasFaults) faults.begin()
        var end = 0L
        while (end < seconds * 1_000_000L && violation == null) {
            end += CHECKED_MICROS
            time.runUntil(end) { if (settings.hasFaults) checkHolders() }
        }
        return this
    }

    private fun lose(share: Double) {
        network.lossShare = share
        network.duplicateShare = share
        network.lateShare = share / 2
    }

    /** Ends the process at [place] and starts another one. */
    fun replace(place: Int, address: String) {
        vms[place].isEnded = true
        vms[place] = start(place, address).also { process.begin(it) }
    }

    /** Peer addresses in the platform's list as [vm] sees it, or null when the platform is out of reach. */
    fun listedAddresses(vm: SimulatedVm): Set<String>? =
        listed.takeUnless { network.isCut(vm.place, SimulatedNetwork.PLATFORM) }

    /** Counts an admission at this instant. */
    fun admitted(organisation: Organisation, vm: SimulatedVm) {
        results.getValue(organisation.id).admitted++
        val excess = checks.getValue(organisation.id).admit(time.nowMicros)
        if (excess > 0 && !settings.isLocalOnly) {
            fail("${organisation.id} exceeds its rate and burst by $excess millionths at ${vm.identity.incarnation}")
        }
    }

    private fun start(place: Int, address: String): SimulatedVm {
        val identity = VmIdentity(
            vm = "vm-$place",
            incarnation = "vm-$place-${incarnations++}",
            availabilityZone = "zone-${place % settings.zones}",
            peerAddress = address,
        )
        val clockRate = if (settings.hasFaults) slowestClock * (1 + CLOCK_SPAN * random.nextDouble()) else 1.0
        return SimulatedVm(place, identity, settings, time, clockRate, random.nextLong(1_000_000_000L))
    }

    /** The platform drops VMs that it can't reach from its list, and publishes the list with a lag. */
    private fun refreshList() {
        val reachable = vms.filterNot { it.isEnded || network.isCut(it.place, SimulatedNetwork.PLATFORM) }
        val addresses = reachable.map { it.identity.peerAddress }.toSet()
        time.after(LIST_LAG_MICROS) { listed = addresses }
        if (listed.isEmpty()) listed = addresses
        time.after(LIST_PERIOD_MICROS) { refreshList() }
    }

    private fun checkHolders() {
        val usable = vms.filterNot { it.isEnded }.flatMap { vm ->
            vm.keeper.leases().filter { it.isUsable(vm.nowMillis()) }.map { it.claim.slot to vm }
        }
        val twice = usable.groupBy({ it.first }, { it.second }).filterValues { it.size > 1 }
        twice.forEach { (slot, holders) -> fail("$slot is usable at ${holders.map { it.identity.incarnation }}") }
    }

    private fun fail(what: String) {
        if (violation == null) violation = "seed $seed: $what, after ${time.nowMicros} microseconds"
    }

    private companion object {
        /** Two clocks differ in rate by at most 1%, the clock of true time included. */
        const val CLOCK_SPAN = 0.01
        val LOST_SHARES = listOf(0.0, 0.002, 0.02)
        const val CHECKED_MICROS = 100_000L
        const val LIST_PERIOD_MICROS = 1_000_000L
        const val LIST_LAG_MICROS = 2_000_000L
    }
}

/** Requests of one organisation. */
class OrganisationResult {
    var offered = 0L
    var admitted = 0L
    var refused = 0L
}
