package org.poplarshift.core.dispatch.cost

import org.poplarshift.core.dispatch.RequestSize

/**
 * A run that a worker has been assigned.
 *
 * @property totalSteps expected steps, including the time of reading the prompt
 * @property cachedTokens tokens of the prompt that the worker probably had cached
 * @property expectedMillis expected time from the start to the end, or null if the start was not observed
 * @property startProgress progress of the worker at the start of the run
 */
internal class ActiveRun(
    val route: String?,
    val size: RequestSize?,
    val cost: RequestCost,
    val cachedTokens: Int,
    val totalSteps: Double,
    val expectedMillis: Double?,
    val startProgress: Double,
    val startMillis: Long,
)
