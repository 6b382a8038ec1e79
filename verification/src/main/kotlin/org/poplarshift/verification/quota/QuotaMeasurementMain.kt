package org.poplarshift.verification.quota

import org.poplarshift.core.catalogue.Organisation

/** Prints the tables of `docs/decisions/quota.md`. Arguments: seed, virtual seconds of each refusal case. */
fun main(arguments: Array<String>) {
    val seed = arguments.getOrNull(0)?.toLong() ?: 1
    val seconds = arguments.getOrNull(1)?.toInt() ?: 3_600
    println(QuotaMeasurement.header)
    QuotaCases.refusalCases.forEach { println(QuotaMeasurement(seed, seconds).measure(it)) }
    QuotaCases.fleetSizeCases.forEach { println(QuotaMeasurement(seed, QuotaCases.FLEET_SIZE_SECONDS).measure(it)) }
}

/** The parameters of all measurements. */
object QuotaCases {
    /** Virtual seconds of each fleet-size case. */
    const val FLEET_SIZE_SECONDS = 80

    private val small = listOf(organisation("small", rate = 5, burst = 10))
    private val medium = listOf(organisation("middle", rate = 50, burst = 100))
    private val large = listOf(organisation("large", rate = 400, burst = 400))

    /** One organisation on 9 VMs with load-balancer weights 4 to 1, for each way to split the limits. */
    val refusalCases: List<QuotaCase> = listOf(
        small to 0.94,
        medium to 0.905,
        large to 0.9,
    ).flatMap { (limited, factor) ->
        val name = "9 VMs, ${limited.single().ratePerSecond.toInt()}/s, burst ${limited.single().burst.toInt()}"
        val case = QuotaCase(name, limited, zones = 3, slotsPerZone = 3, vmsPerZone = 3, demandFactor = factor)
        listOf(case.copy(isLocalOnly = true), case.copy(sharesPerZone = 1), case)
    }

    /** Organisations of mixed sizes on fleets of increasing size, with about 20 requests/s at each node. */
    val fleetSizeCases: List<QuotaCase> = listOf(9 to 3, 36 to 6, 90 to 6, 360 to 8).flatMap { (nodes, zones) ->
        val organisations = mixed(count = nodes * 590 / 360, totalRate = nodes * 20)
        val vms = nodes / zones
        val case = QuotaCase("$nodes VMs, ${organisations.size} organisations", organisations, zones, vms, vms, 0.9)
        listOf(case, case.copy(isLocalOnly = true))
    }

    /** Returns organisations of which a tenth has half of [totalRate]. */
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
