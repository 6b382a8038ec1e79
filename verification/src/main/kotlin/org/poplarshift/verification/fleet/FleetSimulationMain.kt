package org.poplarshift.verification.fleet

import org.poplarshift.core.catalogue.Organisation

/** Runs the fleet simulation with faults for a range of seeds. Arguments: first seed, last seed, virtual seconds. */
fun main(arguments: Array<String>) {
    val first = arguments.getOrNull(0)?.toLong() ?: 1
    val last = arguments.getOrNull(1)?.toLong() ?: first
    val seconds = arguments.getOrNull(2)?.toInt() ?: 120
    val organisations = listOf(
        Organisation("small", owner = "owner", ratePerSecond = 5.0, burst = 10.0),
        Organisation("large", owner = "owner", ratePerSecond = 60.0, burst = 90.0),
    )
    val fleets = (first..last).map { FleetSimulation(it, FleetSettings(organisations)).run(seconds) }
    fleets.mapNotNull { it.violation }.forEach { println(it) }
    organisations.forEach { organisation ->
        val admitted = fleets.sumOf { it.results.getValue(organisation.id).admitted }
        val offered = fleets.sumOf { it.results.getValue(organisation.id).offered }
        println("${organisation.id}: $admitted of $offered admitted")
    }
    println("${fleets.count { it.violation != null }} of ${fleets.size} seeds with a violation")
}
