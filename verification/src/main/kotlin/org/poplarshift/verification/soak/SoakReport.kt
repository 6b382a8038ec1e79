package org.poplarshift.verification.soak

import java.util.Locale

/**
 * What a soak did and found.
 *
 * @property statuses number of calls by the status that their callers received, null without one
 * @property resumption the streams that callers have taken up
 * @property mustBeRefused calls with a withdrawn key that were sent late to nodes in touch
 */
data class SoakReport(
    val settings: SoakSettings,
    val faults: List<String>,
    val statuses: Map<Int?, Int>,
    val served: Int,
    val mustBeRefused: Int,
    val resumption: Resumption,
    val submissions: Int,
    val accepted: Int,
    val violations: List<Violation>,
) {
    private val calls = statuses.values.sum()

    override fun toString(): String = buildString {
        appendLine(
            "seed ${settings.seed}, ${settings.seconds} s, ${settings.nodes} nodes, logs in ${settings.directory}",
        )
        appendLine("$calls calls, $served served; $submissions submissions, $accepted accepted")
        appendLine("statuses: $statuses")
        appendLine("$mustBeRefused calls that had to be refused for a withdrawn key")
        appendLine(resumption.toString())
        appendLine("${violations.size} violations")
        violations.groupingBy { it.promise }.eachCount().forEach { (promise, count) ->
            appendLine("$promise: $count, %.2f for each 1,000 calls".format(Locale.ROOT, count * THOUSAND / calls))
        }
        violations.forEach { appendLine("${it.promise}: ${it.detail}") }
        faults.forEach { appendLine(it) }
    }

    private companion object {
        const val THOUSAND = 1_000.0
    }
}
