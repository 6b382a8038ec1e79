package org.poplarshift.standins.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A complete response or one chunk of a streaming response. */
@Serializable
internal data class CompletionResponse(
    val id: String,
    @SerialName("object") val objectType: String,
    val created: Long,
    val model: String,
    val choices: List<Choice>,
    val usage: Usage? = null,
)

/** The only choice of a response. A complete response has [message] or [text], a chunk has [delta] or [text]. */
@Serializable
internal data class Choice(
    val index: Int = 0,
    val message: ResponseMessage? = null,
    val delta: ResponseMessage? = null,
    val text: String? = null,
    @SerialName("finish_reason") val finishReason: String? = null,
)

/** The message of a chat response, or the part of it in one chunk. */
@Serializable
internal data class ResponseMessage(val role: String? = null, val content: String? = null)

/** Token counts of a request. */
@Serializable
internal data class Usage(
    @SerialName("prompt_tokens") val promptTokens: Int,
    @SerialName("completion_tokens") val completionTokens: Int,
    @SerialName("total_tokens") val totalTokens: Int,
)

/** The body of an error response. */
@Serializable
internal data class EngineError(val error: EngineErrorDetail)

/** The message and the type of an error. */
@Serializable
internal data class EngineErrorDetail(val message: String, val type: String)
