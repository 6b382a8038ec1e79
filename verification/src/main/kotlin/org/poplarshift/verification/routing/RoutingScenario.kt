package org.poplarshift.verification.routing

/**
 * The load under which routing policies are compared: nine nodes and eight workers in equal zones. Two workers, in two
 * zones, have half the speed. Callers come 4 to 1 to the first node of each three, and traffic has bursts.
 *
 * @property requestsPerSecond the mean rate over all nodes
 * @property burstFactor the rate within a burst in relation to the mean
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
