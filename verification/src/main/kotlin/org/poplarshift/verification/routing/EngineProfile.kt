package org.poplarshift.verification.routing

/**
 * The performance of a simulated engine. The default times are those of the engine stand-in.
 *
 * @property latencyFactor factor by which all times are multiplied
 * @property cacheCapacity maximum number of prefixes in the prompt cache
 */
data class EngineProfile(
    val capacity: Int = 16,
    val firstTokenMillis: Double = 15.0,
    val promptTokenMillis: Double = 0.1,
    val tokenMillis: Double = 4.0,
    val tokenMillisPerRequest: Double = 0.4,
    val latencyFactor: Double = 1.0,
    val cacheCapacity: Int = 12,
)
