package org.poplarshift.verification.fleet

import org.poplarshift.verification.fleet.SimulatedNetwork.Companion.PLATFORM

/** Injects random pauses, restarts, replacements, shutdowns and partitions, which may overlap. */
class FaultSchedule(private val fleet: FleetSimulation, private val runtime: SimulatedNodeRuntime) {
    private val random = fleet.random
    private val platformPartitions = mutableMapOf<Int, Int>()
    private val peerPartitions = mutableMapOf<Int, Int>()
    private val zonePartitions = mutableMapOf<Int, Int>()

    /** Seeds with rare faults reveal an excess of a few tokens, which frequent faults would hide. */
    private val meanIntervalMicros = MEAN_INTERVALS_MICROS.random(random)

    /** Schedules the first fault. */
    fun start() {
        fleet.network.isPartitioned = ::isPartitioned
        fleet.time.after(FIRST_FAULT_MICROS) { injectNext() }
    }

    private fun injectNext() {
        inject()
        fleet.time.after(random.nextLong(meanIntervalMicros * 2)) { injectNext() }
    }

    private fun inject() {
        val index = random.nextInt(fleet.vms.size)
        val vm = fleet.vms[index]
        when (random.nextInt(FAULT_KINDS)) {
            0, 1 -> vm.pausedUntilMicros = fleet.time.nowMicros + randomDuration(MAXIMUM_PAUSE_MICROS)

            2 -> partition(platformPartitions, index)

            3 -> partition(peerPartitions, index)

            4, 5 -> {
                partition(platformPartitions, index)
                partition(peerPartitions, index)
            }

            6 -> partition(zonePartitions, index % fleet.settings.zones)

            7 -> repeat(fleet.vms.size / fleet.settings.zones - 1) {
                partition(platformPartitions, (index + it * fleet.settings.zones) % fleet.vms.size)
            }

            8 -> if (!vm.isEnded) fleet.replace(index, vm.identity.peerAddress)

            9 -> if (!vm.isEnded) fleet.replace(index, "${vm.identity.peerAddress}+")

            10 -> if (!vm.isEnded && !vm.isLeaving) {
                runtime.shutDown(vm) { fleet.replace(index, vm.identity.peerAddress) }
            }
        }
    }

    private fun partition(partitions: MutableMap<Int, Int>, key: Int) {
        partitions.merge(key, 1, Int::plus)
        fleet.time.after(randomDuration(MAXIMUM_PARTITION_MICROS)) { partitions.merge(key, -1, Int::plus) }
    }

    private fun randomDuration(maximumMicros: Long): Long = 1 + random.nextLong(maximumMicros)

    private fun isPartitioned(from: Int, to: Int): Boolean {
        if (from == PLATFORM || to == PLATFORM) {
            val index = maxOf(from, to)
            return isActive(platformPartitions, index) || isActive(zonePartitions, index % fleet.settings.zones)
        }
        val isSameZone = from % fleet.settings.zones == to % fleet.settings.zones
        val isZonePartitioned = listOf(from, to).any { isActive(zonePartitions, it % fleet.settings.zones) }
        val isVmPartitioned = isActive(peerPartitions, from) || isActive(peerPartitions, to)
        return isVmPartitioned || (!isSameZone && isZonePartitioned)
    }

    private fun isActive(partitions: Map<Int, Int>, key: Int): Boolean = (partitions[key] ?: 0) > 0

    private companion object {
        const val FAULT_KINDS = 11
        const val FIRST_FAULT_MICROS = 25_000_000L
        val MEAN_INTERVALS_MICROS = listOf(1_500_000L, 8_000_000L, 60_000_000L)
        const val MAXIMUM_PAUSE_MICROS = 9_000_000L
        const val MAXIMUM_PARTITION_MICROS = 30_000_000L
    }
}
