package org.poplarshift.operator.load

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * The load that `poplarshift load` generates. Send times are scheduled in advance and do not depend on responses.
 *
 * @property seed seed of the random send times
 */
@Serializable
data class LoadPlan(
    val durationSeconds: Double,
    val arrivals: ArrivalProcess = ArrivalProcess.POISSON,
    val seed: Long = 1,
    val streams: List<LoadStream>,
)

/** The distribution of the intervals between requests. */
@Serializable
enum class ArrivalProcess {
    /** Exponentially distributed intervals, as caused by many independent callers. */
    @SerialName("poisson")
    POISSON,

    /** Equal intervals. */
    @SerialName("uniform")
    UNIFORM,
}

/**
 * The requests of one organisation.
 *
 * @property keyFile file with the key of the organisation, relative to the directory of the plan
 * @property nodes callers' addresses, used in rotation; an address that is listed twice receives twice as many requests
 * @property prompts prompts, used in rotation; each is sent as the only message of a chat completion
 * @property deadlineMillis time after sending at which an incomplete request counts as failed
 */
@Serializable
data class LoadStream(
    val organisation: String,
    val keyFile: String,
    val nodes: List<String>,
    val ratePerSecond: Double,
    val model: String,
    val prompts: List<String>,
    val maxTokens: Int = 32,
    val stream: Boolean = true,
    val startSeconds: Double = 0.0,
    val deadlineMillis: Long = 30_000,
)
