package org.poplarshift.verification.routing

/**
 * The speed of a simulated engine; the times are those of the engine stand-in.
 *
 * @property slowness factor on all times
 * @property cachedPrefixes prefixes that the prompt cache holds
 */
data class EngineProfile(
    val capacity: Int = 16,
    val firstTokenMillis: Double = 15.0,
    val promptTokenMillis: Double = 0.1,
    val tokenMillis: Double = 4.0,
    val tokenMillisPerRequest: Double = 0.4,
    val slowness: Double = 1.0,
    val cachedPrefixes: Int = 12,
)
