package org.poplarshift.verification.routing

/**
 * The load under which routing policies are compared: nine nodes and eight workers, distributed evenly over the zones.
 * Two workers, in two zones, run at half speed. Each of the first three nodes receives four times as many requests as
 * each of the others, and traffic has bursts.
 *
 * @property requestsPerSecond mean request rate over all nodes
 * @property burstFactor request rate within a burst as a multiple of the mean
 * @property loadLagMillis age of a load report on arrival
 */
data class RoutingScenario(
    val seed: Long,
    val requestsPerSecond: Double = 70.0,
    val burstFactor: Double = 1.5,
    val durationSeconds: Int = 60,
    val warmUpSeconds: Int = 10,
    val slowWorkers: Set<Int> = setOf(2, 3),
    val loadLagMillis: Long = 200,
    val prefixes: Int = 60,
    val prefixTokens: Int = 1_500,
    val organisations: Int = 8,
    val zones: List<String> = listOf("kirtipur", "patan", "thimi"),
) {
    companion object {
        const val WORKERS = 8
        const val NODES = 9
    }
}
