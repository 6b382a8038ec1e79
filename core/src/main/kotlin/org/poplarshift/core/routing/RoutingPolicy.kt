package org.poplarshift.core.routing

import kotlin.random.Random

/**
 * Chooses among the usable workers of one upstream. An instance belongs to one upstream and one node, since some
 * policies keep state. [choose] gets at least one worker, and every worker has room.
 */
sealed class RoutingPolicy {
    /**
     * Returns one of [candidates].
     *
     * @param prefix the first characters of the prompt, empty for plain services
     */
    abstract fun choose(candidates: List<WorkerCandidate>, prefix: String, nowMillis: Long): WorkerCandidate

    companion object {
        /** Creates the policy that the settings name. */
        fun create(choice: RoutingPolicyChoice, random: Random): RoutingPolicy = when (choice) {
            RoutingPolicyChoice.RoundRobin -> RoundRobin()
            RoutingPolicyChoice.PowerOfTwo -> PowerOfTwo(random)
            RoutingPolicyChoice.PrefixAffinity -> PrefixAffinity(PowerOfTwo(random))
            is RoutingPolicyChoice.PeriodicWeights -> PeriodicWeights(choice.periodSeconds * MILLIS_PER_SECOND)
        }

        private const val MILLIS_PER_SECOND = 1_000L
    }
}
