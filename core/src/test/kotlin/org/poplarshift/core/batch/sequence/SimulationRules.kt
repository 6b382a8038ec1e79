package org.poplarshift.core.batch.sequence

/** The rules of the simulated nodes. Changing any default is a fault that the invariants must detect. */
data class SimulationRules(
    val startBeforeDispatch: Boolean = true,
    val firstResultWins: Boolean = true,
    val carryForward: Boolean = true,
)
