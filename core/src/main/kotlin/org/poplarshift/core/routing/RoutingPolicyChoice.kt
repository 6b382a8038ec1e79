package org.poplarshift.core.routing

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The routing policy in the settings, such as `{"type":"periodicWeights","periodSeconds":7}`. */
@Serializable
sealed interface RoutingPolicyChoice {
    /** Selects [org.poplarshift.core.routing.RoundRobin], the baseline. */
    @Serializable
    @SerialName("roundRobin")
    data object RoundRobin : RoutingPolicyChoice

    /** Selects [org.poplarshift.core.routing.PowerOfTwo]. */
    @Serializable
    @SerialName("powerOfTwo")
    data object PowerOfTwo : RoutingPolicyChoice

    /** Selects [org.poplarshift.core.routing.PrefixAffinity]. */
    @Serializable
    @SerialName("prefixAffinity")
    data object PrefixAffinity : RoutingPolicyChoice

    /** Selects [org.poplarshift.core.routing.PeriodicWeights]. */
    @Serializable
    @SerialName("periodicWeights")
    data class PeriodicWeights(val periodSeconds: Int = 7) : RoutingPolicyChoice {
        init {
            require(periodSeconds in PERIODS) { "periodSeconds is $periodSeconds, expected one of $PERIODS" }
        }
    }

    private companion object {
        val PERIODS = listOf(5, 7, 10)
    }
}
