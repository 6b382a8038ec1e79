package org.poplarshift.core.batch.sequence

/** The rules of the sequence. Each default, when reversed, is a fault that the invariants must find. */
data class SimulationRules(
    val startBeforeDispatch: Boolean = true,
    val firstResultWins: Boolean = true,
    val carryForward: Boolean = true,
)
