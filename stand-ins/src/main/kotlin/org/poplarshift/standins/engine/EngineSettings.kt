package org.poplarshift.standins.engine

import kotlinx.serialization.Serializable

/**
 * Settings of one model engine.
 *
 * @property port the port to listen on; 0 picks a free port
 * @property models the models that are loaded at startup; requests for others get 404. Empty serves any model.
 * @property capacity maximum number of requests that generate tokens concurrently; further requests wait
 * @property firstTokenMillis time before the first token of a request whose whole prompt is cached
 * @property promptTokenMillis additional time for each prompt token that is not cached
 * @property tokenMillis time per token of a request that runs alone
 * @property tokenMillisPerRequest additional time per token for each other running request
 * @property cacheBlocks capacity of the prompt prefix cache in blocks of 64 characters
 * @property coldStartMillis time after startup during which the engine rejects requests with 503
 * @property modelLoadMillis time from an order to load a model until the engine serves it
 * @property honoursFencing whether an order with an older fencing token is rejected
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
