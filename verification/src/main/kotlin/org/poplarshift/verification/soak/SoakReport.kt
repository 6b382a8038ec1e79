package org.poplarshift.verification.soak

/**
 * What a soak did and found.
 *
 * @property mustBeRefused calls with a withdrawn key that were sent late to nodes in touch
 */
data class SoakReport(
    val settings: SoakSettings,
    val faults: List<String>,
    val calls: Int,
    val served: Int,
    val mustBeRefused: Int,
    val submissions: Int,
    val accepted: Int,
    val violations: List<Violation>,
) {
    override fun toString(): String = buildString {
        appendLine(
            "seed ${settings.seed}, ${settings.seconds} s, ${settings.nodes} nodes, logs in ${settings.directory}",
        )
        appendLine("$calls calls, $served served; $submissions submissions, $accepted accepted")
        appendLine("$mustBeRefused calls that had to be refused for a withdrawn key")
        appendLine("${violations.size} violations")
        violations.forEach { appendLine("${it.promise}: ${it.detail}") }
        faults.forEach { appendLine(it) }
    }
}
