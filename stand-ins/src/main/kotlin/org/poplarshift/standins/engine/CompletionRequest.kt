package org.poplarshift.standins.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import org.poplarshift.wire.WireJson

/** The fields of a completion request that the engine reads. Other fields are ignored. */
@Serializable
internal data class CompletionRequest(
    val model: String = "",
    val messages: List<ChatMessage>? = null,
    val prompt: JsonElement? = null,
    @SerialName("max_tokens") val maxTokens: Int? = null,
    @SerialName("max_completion_tokens") val maxCompletionTokens: Int? = null,
    val stream: Boolean = false,
    @SerialName("stream_options") val streamOptions: StreamOptions? = null,
) {
    /** The number of tokens to generate. */
    val requestedTokens: Int
        get() = maxCompletionTokens ?: maxTokens ?: DEFAULT_TOKENS

    /** The messages or the prompt as a single text, or null if the request has neither. */
    val promptText: String?
        get() = messages?.joinToString("\n") { "${it.role}: ${plainText(it.content)}" } ?: prompt?.let(::plainText)

    private fun plainText(element: JsonElement): String = when (element) {
        is JsonPrimitive -> element.contentOrNull.orEmpty()
        is JsonArray -> element.joinToString("\n") { plainText(it) }
        is JsonObject -> element["text"]?.let(::plainText).orEmpty()
    }

    companion object {
        private const val DEFAULT_TOKENS = 32

        /** Decodes [body], or returns null if it is not a valid request. */
        fun decode(body: String): CompletionRequest? = try {
            WireJson.lenient.decodeFromString<CompletionRequest>(body)
                .takeIf { it.promptText != null && it.requestedTokens > 0 }
        } catch (_: SerializationException) {
            null
        }
    }
}

/** One message of a chat request. */
@Serializable
internal data class ChatMessage(val role: String, val content: JsonElement)

/** Options of a streaming response. */
@Serializable
internal data class StreamOptions(@SerialName("include_usage") val includeUsage: Boolean = false)
