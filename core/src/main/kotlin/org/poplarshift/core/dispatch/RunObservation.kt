package org.poplarshift.core.dispatch

import kotlinx.serialization.Serializable

/**
 * What a node has observed of a run that has ended.
 *
 * @property firstEventMillis time from sending the request to the first event or to the response head, or null if there was none
 * @property runMillis time from sending the request to the end of the response
 * @property outputTokens tokens of the output as far as the events of a stream show them, otherwise 0
 * @property isComplete whether the response was received completely
 */
@Serializable
data class RunObservation(
    val firstEventMillis: Long?,
    val runMillis: Long,
    val outputTokens: Int = 0,
    val isComplete: Boolean = true,
)
