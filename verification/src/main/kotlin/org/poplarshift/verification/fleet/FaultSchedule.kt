package org.poplarshift.verification.fleet

import org.poplarshift.verification.fleet.SimulatedNetwork.Companion.PLATFORM

/** Random pauses, restarts, replacements, shutdowns and partitions, several at a time. */
class FaultSchedule(private val fleet: FleetSimulation, private val process: SimulatedProcess) {
    private val random = fleet.random
    private val cutFromPlatform = mutableMapOf<Int, Int>()
    private val cutFromPeers = mutableMapOf<Int, Int>()
    private val cutZones = mutableMapOf<Int, Int>()

    /** Calm seeds show an excess of a few tokens, which many faults would hide. */
    private val meanGapMicros = MEAN_GAPS_MICROS.random(random)

    /** Starts the faults. */
    fun begin() {
        fleet.network.isCut = ::isCut
        fleet.time.after(FIRST_MICROS) { next() }
    }

    private fun next() {
        inject()
        fleet.time.after(random.nextLong(meanGapMicros * 2)) { next() }
    }

    private fun inject() {
        val place = random.nextInt(fleet.vms.size)
        val vm = fleet.vms[place]
        when (random.nextInt(KINDS)) {
            0, 1 -> vm.pausedUntilMicros = fleet.time.nowMicros + duration(LONGEST_PAUSE_MICROS)

            2 -> cut(cutFromPlatform, place)

            3 -> cut(cutFromPeers, place)

            4, 5 -> {
                cut(cutFromPlatform, place)
                cut(cutFromPeers, place)
            }

            6 -> cut(cutZones, place % fleet.settings.zones)

            7 -> repeat(fleet.vms.size / fleet.settings.zones - 1) {
                cut(cutFromPlatform, (place + it * fleet.settings.zones) % fleet.vms.size)
            }

            8 -> if (!vm.isEnded) fleet.replace(place, vm.identity.peerAddress)

            9 -> if (!vm.isEnded) fleet.replace(place, "${vm.identity.peerAddress}+")

            10 -> if (!vm.isEnded && !vm.isLeaving) {
                process.leave(vm) { fleet.replace(place, vm.identity.peerAddress) }
            }
        }
    }

    private fun cut(cuts: MutableMap<Int, Int>, which: Int) {
        cuts.merge(which, 1, Int::plus)
        fleet.time.after(duration(LONGEST_CUT_MICROS)) { cuts.merge(which, -1, Int::plus) }
    }

    private fun duration(longestMicros: Long): Long = 1 + random.nextLong(longestMicros)

    private fun isCut(from: Int, to: Int): Boolean {
        if (from == PLATFORM || to == PLATFORM) {
            val place = maxOf(from, to)
            return isActive(cutFromPlatform, place) || isActive(cutZones, place % fleet.settings.zones)
        }
        val isSameZone = from % fleet.settings.zones == to % fleet.settings.zones
        val isZoneCut = listOf(from, to).any { isActive(cutZones, it % fleet.settings.zones) }
        val isVmCut = isActive(cutFromPeers, from) || isActive(cutFromPeers, to)
        return isVmCut || (!isSameZone && isZoneCut)
    }

    private fun isActive(cuts: Map<Int, Int>, which: Int): Boolean = (cuts[which] ?: 0) > 0

    private companion object {
        const val KINDS = 11
        const val FIRST_MICROS = 25_000_000L
        val MEAN_GAPS_MICROS = listOf(1_500_000L, 8_000_000L, 60_000_000L)
        const val LONGEST_PAUSE_MICROS = 9_000_000L
        const val LONGEST_CUT_MICROS = 30_000_000L
    }
}
