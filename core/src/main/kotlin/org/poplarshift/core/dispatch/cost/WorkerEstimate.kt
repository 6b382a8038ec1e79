package org.poplarshift.core.dispatch.cost

/**
 * What a run of a request at one worker would cost now. Times are in milliseconds.
 *
 * @property runMillis expected time until the run has ended
 * @property delayMillis expected sum of the delays of the other runs at the worker
 * @property firstMillis expected time until the prompt has been read and the first event is generated
 * @property cachedTokens tokens of the prompt that the worker probably has cached
 * @property speed speed of the worker, relative to the usual one
 */
class WorkerEstimate(
    val runMillis: Double,
    val delayMillis: Double,
    val firstMillis: Double,
    val cachedTokens: Int,
    val speed: Double,
) {
    /** What the choice of the worker minimizes. */
    val totalMillis: Double
        get() = runMillis + delayMillis
}
