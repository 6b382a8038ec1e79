package org.poplarshift.core.dispatch

import kotlinx.serialization.Serializable

/**
 * The size of a request to an inference engine in tokens, as its caller states it.
 *
 * @property expectedOutputTokens the caller's estimate, which is often wrong, or null
 * @property parts the parts of the prompt in their order; all but the last may be shared with other requests
 */
@Serializable
data class RequestSize(
    val promptTokens: Int,
    val maximumOutputTokens: Int,
    val expectedOutputTokens: Int? = null,
    val parts: List<PromptPart> = emptyList(),
)

/** A part of a prompt. */
@Serializable
data class PromptPart(val id: String, val tokens: Int)
