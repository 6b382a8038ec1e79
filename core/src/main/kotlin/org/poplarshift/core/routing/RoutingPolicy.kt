package org.poplarshift.core.routing

import kotlin.random.Random

/**
 * Chooses among the usable workers of one upstream. Each upstream on each node has its own instance, because some
 * policies are stateful. [choose] requires at least one worker, and every worker must have room.
 */
sealed class RoutingPolicy {
    /**
     * Returns one of [candidates].
     *
     * @param prefix the first characters of the prompt, or an empty string for plain services
     */
    abstract fun choose(candidates: List<WorkerCandidate>, prefix: String, nowMillis: Long): WorkerCandidate

    companion object {
        /** Creates the policy for [choice] from the settings. */
        fun create(choice: RoutingPolicyChoice, random: Random): RoutingPolicy = when (choice) {
            RoutingPolicyChoice.RoundRobin -> RoundRobin()
            RoutingPolicyChoice.PowerOfTwo -> PowerOfTwo(random)
            RoutingPolicyChoice.PrefixAffinity -> PrefixAffinity(PowerOfTwo(random))
            is RoutingPolicyChoice.PeriodicWeights -> PeriodicWeights(choice.periodSeconds * MILLIS_PER_SECOND)
        }

        private const val MILLIS_PER_SECOND = 1_000L
    }
}
