package org.poplarshift.operator.load

import kotlinx.serialization.Serializable

/** The results of a load run by organisation. */
@Serializable
data class LoadReport(val seconds: Double, val organisations: List<OrganisationReport>) {
    /** Formats the report for the terminal. */
    fun text(): String = organisations.joinToString("\n") { it.text() }
}

/**
 * The results of one organisation. Latencies are measured from the scheduled send time, so that they include the time
 * by which a node delays requests (no coordinated omission).
 *
 * @property failures number of refused and failed requests by error code
 */
@Serializable
data class OrganisationReport(
    val organisation: String,
    val sent: Long,
    val completed: Long,
    val completedPerSecond: Double,
    val failures: Map<String, Long>,
    val firstTokenMillis: Quantiles,
    val totalMillis: Quantiles,
    val betweenTokensMillis: Quantiles,
) {
    /** Formats the results for the terminal. */
    fun text(): String = buildString {
        appendLine("$organisation: sent $sent, completed $completed (${"%.1f".format(completedPerSecond)}/s)")
        appendLine("  first token     ${firstTokenMillis.text()}")
        appendLine("  whole response  ${totalMillis.text()}")
        append("  between tokens  ${betweenTokensMillis.text()}")
        failures.forEach { (code, count) -> append("\n  $code: $count") }
    }
}

/** Latency quantiles in milliseconds. */
@Serializable
data class Quantiles(val p50: Double, val p95: Double, val p99: Double, val maximum: Double) {
    /** Formats the quantiles as one line. */
    fun text(): String = "p50 %.1f ms, p95 %.1f ms, p99 %.1f ms, max %.1f ms".format(p50, p95, p99, maximum)
}
