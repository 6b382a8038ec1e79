package org.poplarshift.standins.engine

import kotlinx.serialization.Serializable

/**
 * One model engine.
 *
 * @property port the port to listen on; 0 takes any free port
 * @property models the models that are loaded at the start; requests for others get 404. Empty serves any model.
 * @property capacity requests that generate tokens at the same time; more requests wait
 * @property firstTokenMillis time before the first token of a request whose whole prompt is cached
 * @property promptTokenMillis additional time for each prompt token that is not cached
 * @property tokenMillis time per token of a request that runs alone
 * @property tokenMillisPerRequest additional time per token for each other running request
 * @property cacheBlocks blocks of 64 characters that the prompt prefix cache holds
 * @property coldStartMillis time after a start during which the engine refuses requests with 503
 * @property honoursFencing whether an order with an older fencing token is refused
 */
@Serializable
data class EngineSettings(
    val worker: String,
    val host: String = "127.0.0.1",
    val port: Int = 0,
    val models: List<String> = emptyList(),
    val capacity: Int = 16,
    val firstTokenMillis: Double = 15.0,
    val promptTokenMillis: Double = 0.1,
    val tokenMillis: Double = 4.0,
    val tokenMillisPerRequest: Double = 0.4,
    val cacheBlocks: Int = 4_096,
    val coldStartMillis: Long = 0,
    val modelLoadMillis: Long = 2_000,
    val honoursFencing: Boolean = true,
    val faults: EngineFaults = EngineFaults(),
)
