package org.poplarshift.verification.routing

/**
 * The speed of a simulated engine; the times are those of the engine stand-in.
 *
 * @property latencyFactor factor on all times
 * @property cacheCapacity prefixes that the prompt cache holds
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
