package org.poplarshift.operator.load

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * What `poplarshift load` sends. Send times are scheduled in advance and do not wait for responses.
 *
 * @property seed seed of the send times and prompts
 */
@Serializable
data class LoadPlan(
    val durationSeconds: Double,
    val arrivals: ArrivalProcess = ArrivalProcess.POISSON,
    val seed: Long = 1,
    val streams: List<LoadStream>,
)

/** How the times between requests spread. */
@Serializable
enum class ArrivalProcess {
    /** Exponential times, as from many independent callers. */
    @SerialName("poisson")
    POISSON,

    /** Equal times. */
    @SerialName("uniform")
    UNIFORM,
}

/**
 * The requests of one organisation.
 *
 * @property keyFile file with the organisation's key, relative to the plan
 * @property nodes the callers' addresses, used in turn; repeat one to give it more requests
 * @property prompts used in turn; each is sent as the one message of a chat
 * @property deadlineMillis time after the scheduled send time at which a request counts as failed
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
