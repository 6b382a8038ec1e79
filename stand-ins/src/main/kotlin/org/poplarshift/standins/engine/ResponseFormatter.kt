package org.poplarshift.standins.engine

import kotlinx.serialization.encodeToString
import org.poplarshift.standins.http.responseJson

/** Formats the responses of one run for the chat API or, if [isChat] is false, for the completions API. */
internal class ResponseFormatter(
    private val responseId: String,
    private val request: CompletionRequest,
    private val isChat: Boolean,
) {
    private val created = System.currentTimeMillis() / 1_000

    /** Returns the stream event for the token at [index]. */
    fun tokenChunk(index: Int, text: String): String {
        val role = if (index == 0) "assistant" else null
        return chunk(if (isChat) Choice(delta = ResponseMessage(role, text)) else Choice(text = text))
    }

    /** Returns the events that end a stream. */
    fun finalChunks(run: EngineRun): String {
        val end =
            chunk(
                if (isChat) {
                    Choice(
                        delta = ResponseMessage(),
                        finishReason = "length",
                    )
                } else {
                    Choice(text = "", finishReason = "length")
                },
            )
        val usage = if (request.streamOptions?.includeUsage == true) {
            serverSentEvent(response(CHUNK_OBJECT, emptyList(), usage(run)))
        } else {
            ""
        }
        return "$end${usage}data: [DONE]\n\n"
    }

    /** Returns the body of a non-streaming response. */
    fun complete(run: EngineRun, text: String): String {
        val choice = if (isChat) {
            Choice(message = ResponseMessage("assistant", text), finishReason = "length")
        } else {
            Choice(text = text, finishReason = "length")
        }
        return responseJson.encodeToString(response(COMPLETION_OBJECT, listOf(choice), usage(run)))
    }

    private fun chunk(choice: Choice) = serverSentEvent(response(CHUNK_OBJECT, listOf(choice), null))

    private fun serverSentEvent(response: CompletionResponse) = "data: ${responseJson.encodeToString(response)}\n\n"

    private fun response(chatObjectType: String, choices: List<Choice>, usage: Usage?) = CompletionResponse(
        id = "cmpl-$responseId",
        objectType = if (isChat) chatObjectType else "text_completion",
        created = created,
        model = request.model,
        choices = choices,
        usage = usage,
    )

    private fun usage(run: EngineRun) = Usage(
        promptTokens = run.promptTokens,
        completionTokens = run.generatedTokens,
        totalTokens = run.promptTokens + run.generatedTokens,
    )

    private companion object {
        const val CHUNK_OBJECT = "chat.completion.chunk"
        const val COMPLETION_OBJECT = "chat.completion"
    }
}
