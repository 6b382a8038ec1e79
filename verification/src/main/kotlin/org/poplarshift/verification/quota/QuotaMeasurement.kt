package org.poplarshift.verification.quota

import org.poplarshift.core.catalogue.Organisation
import org.poplarshift.core.ownership.SlotTimes
import org.poplarshift.verification.fleet.FleetSettings
import org.poplarshift.verification.fleet.FleetSimulation
import java.lang.management.ManagementFactory
import java.util.Locale

/**
 * Measures, in virtual time and without faults, the share of false refusals, which are refusals of requests within
 * their organisation's limits, and the messages, bytes and CPU time that the fleet-wide limit costs.
 *
 * All requests of an organisation pass one token bucket with its rate and burst before the load balancer distributes
 * them, so that every refusal is a false one. The CPU time includes the overhead of the simulation. The
 * baseline `local` measures this overhead.
 */
class QuotaMeasurement(private val seed: Long, private val seconds: Int) {
    /** Runs [case] and returns the result as a row of a Markdown table. */
    fun measure(case: QuotaCase): String {
        val settings = FleetSettings(
            organisations = case.organisations,
            zones = case.zones,
            slotsPerZone = case.slotsPerZone,
            vmsPerZone = case.vmsPerZone,
            demandFactor = case.demandFactor,
            areCallersLimited = true,
            hasFaults = false,
            slotTimes = SlotTimes(),
            sharesPerZone = case.sharesPerZone,
            isLocalOnly = case.isLocalOnly,
        )
        val threads = ManagementFactory.getThreadMXBean()
        val startedNanos = threads.currentThreadCpuTime
        val fleet = FleetSimulation(seed, settings).run(seconds)
        val cpuNanos = threads.currentThreadCpuTime - startedNanos
        check(fleet.violation == null) { fleet.violation.orEmpty() }
        return formatRow(case, fleet, cpuNanos)
    }

    private fun formatRow(case: QuotaCase, fleet: FleetSimulation, cpuNanos: Long): String {
        val offered = fleet.results.values.sumOf { it.offered }
        val refused = fleet.results.values.sumOf { it.refused }
        val measuredSeconds = (seconds - WARM_UP_SECONDS).toDouble()
        val nodes = case.zones * case.vmsPerZone
        val rate = case.organisations.sumOf { it.ratePerSecond }
        val columns = listOf(
            case.name,
            if (case.isLocalOnly) "local" else case.sharesPerZone?.let { "fleet, $it a zone" } ?: "fleet",
            "$offered",
            "%.1f%%".format(Locale.ROOT, offered * 100 / measuredSeconds / rate),
            "%.3f%%".format(Locale.ROOT, refused * 100.0 / offered),
            "%.2f".format(Locale.ROOT, fleet.network.messages.toDouble() / offered),
            "%.2f".format(Locale.ROOT, fleet.network.messages / measuredSeconds / case.organisations.size),
            "%.2f".format(Locale.ROOT, fleet.network.messages / measuredSeconds / nodes),
            "%.0f".format(Locale.ROOT, fleet.network.bytes / measuredSeconds / nodes),
            "%.1f".format(Locale.ROOT, cpuNanos / 1_000.0 / offered),
        )
        return columns.joinToString(" | ", prefix = "| ", postfix = " |")
    }

    companion object {
        const val WARM_UP_SECONDS = 20
        val header = "| case | limit | requests | used | refused | messages/request | messages/s/organisation | " +
            "messages/s/node | bytes/s/node | µs CPU/request |\n|" + " --- |".repeat(10)
    }
}

/**
 * Parameters of one measurement.
 *
 * @property demandFactor request rate before the token bucket in front of the VMs, as a multiple of the rate limit
 */
data class QuotaCase(
    val name: String,
    val organisations: List<Organisation>,
    val zones: Int,
    val slotsPerZone: Int,
    val vmsPerZone: Int,
    val demandFactor: Double,
    val sharesPerZone: Int? = null,
    val isLocalOnly: Boolean = false,
)
