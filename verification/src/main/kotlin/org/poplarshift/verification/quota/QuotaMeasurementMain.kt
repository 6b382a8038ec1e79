package org.poplarshift.verification.quota

import org.poplarshift.core.catalogue.Organisation

/** Prints the tables of `docs/decisions/quota.md`; arguments: seed, virtual seconds of the small cases. */
fun main(arguments: Array<String>) {
    val seed = arguments.getOrNull(0)?.toLong() ?: 1
    val seconds = arguments.getOrNull(1)?.toInt() ?: 3_600
    println(QuotaMeasurement.header)
    QuotaCases.refusalCases.forEach { println(QuotaMeasurement(seed, seconds).measure(it)) }
    QuotaCases.fleetSizeCases.forEach { println(QuotaMeasurement(seed, QuotaCases.FLEET_SIZE_SECONDS).measure(it)) }
}

/** The cases that are measured. */
object QuotaCases {
    /** Virtual seconds for the larger fleets. */
    const val FLEET_SIZE_SECONDS = 80

    private val small = listOf(organisation("small", rate = 5, burst = 10))
    private val medium = listOf(organisation("middle", rate = 50, burst = 100))
    private val large = listOf(organisation("large", rate = 400, burst = 400))

    /** One organisation on 9 VMs, callers spread 4 to 1, with the alternatives. */
    val refusalCases: List<QuotaCase> = listOf(
        small to 0.94,
        medium to 0.905,
        large to 0.9,
    ).flatMap { (limited, factor) ->
        val name = "9 VMs, ${limited.single().ratePerSecond.toInt()}/s, burst ${limited.single().burst.toInt()}"
        val case = QuotaCase(name, limited, zones = 3, slotsPerZone = 3, vmsPerZone = 3, demandFactor = factor)
        listOf(case.copy(isLocalOnly = true), case.copy(sharesPerZone = 1), case)
    }

    /** Organisations of mixed sizes on growing fleets, about 20 requests/s to each node. */
    val fleetSizeCases: List<QuotaCase> = listOf(9 to 3, 36 to 6, 90 to 6, 360 to 8).flatMap { (nodes, zones) ->
        val organisations = mixed(count = nodes * 590 / 360, totalRate = nodes * 20)
        val vms = nodes / zones
        val case = QuotaCase("$nodes VMs, ${organisations.size} organisations", organisations, zones, vms, vms, 0.9)
        listOf(case, case.copy(isLocalOnly = true))
    }

    /** A tenth of the organisations has half of the rate. */
    private fun mixed(count: Int, totalRate: Int): List<Organisation> {
        val largeCount = maxOf(1, count / 10)
        return (0 until count).map { index ->
            val rate = if (index < largeCount) totalRate / 2 / largeCount else totalRate / 2 / (count - largeCount)
            organisation("organisation-$index", rate = maxOf(1, rate), burst = maxOf(2, rate) * 2)
        }
    }

    private fun organisation(id: String, rate: Int, burst: Int) =
        Organisation(id, owner = "owner", ratePerSecond = rate.toDouble(), burst = burst.toDouble())
}
