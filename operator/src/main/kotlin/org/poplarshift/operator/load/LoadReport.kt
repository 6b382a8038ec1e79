package org.poplarshift.operator.load

import kotlinx.serialization.Serializable

/** The result of a load run, by organisation. */
@Serializable
data class LoadReport(val seconds: Double, val organisations: List<OrganisationReport>) {
    /** The report as text lines. */
    fun text(): String = organisations.joinToString("\n") { it.text() }
}

/**
 * The result of one organisation. Times count from the scheduled send time, so that a node that delays requests can't
 * hide it.
 *
 * @property failures refused and failed requests by error code
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
    /** The result as text lines. */
    fun text(): String = buildString {
        appendLine("$organisation: sent $sent, completed $completed (${"%.1f".format(completedPerSecond)}/s)")
        appendLine("  first token     ${firstTokenMillis.text()}")
        appendLine("  whole response  ${totalMillis.text()}")
        append("  between tokens  ${betweenTokensMillis.text()}")
        failures.forEach { (code, count) -> append("\n  $code: $count") }
    }
}

/** Quantiles in milliseconds. */
@Serializable
data class Quantiles(val p50: Double, val p95: Double, val p99: Double, val maximum: Double) {
    /** The quantiles as one line. */
    fun text(): String = "p50 %.1f ms, p95 %.1f ms, p99 %.1f ms, max %.1f ms".format(p50, p95, p99, maximum)
}
