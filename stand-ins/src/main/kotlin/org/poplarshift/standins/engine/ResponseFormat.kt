package org.poplarshift.standins.engine

import kotlinx.serialization.encodeToString
import org.poplarshift.standins.http.responseJson

/** Writes the responses of one run in the form of the chat API or, when [isChat] is false, the completions API. */
internal class ResponseFormat(
    private val responseId: String,
    private val request: CompletionRequest,
    private val isChat: Boolean,
) {
    private val created = System.currentTimeMillis() / 1_000

    /** The part of a stream for one token. */
    fun tokenPart(index: Int, text: String): String {
        val role = if (index == 0) "assistant" else null
        return part(if (isChat) Choice(delta = Content(role, text)) else Choice(text = text))
    }

    /** The parts that end a stream. */
    fun endParts(run: EngineRun): String {
        val end =
            part(
                if (isChat) {
                    Choice(
                        delta = Content(),
                        finishReason = "length",
                    )
                } else {
                    Choice(text = "", finishReason = "length")
                },
            )
        val usage = if (request.streamOptions?.includeUsage == true) line(body(PART, emptyList(), usage(run))) else ""
        return "$end${usage}data: [DONE]\n\n"
    }

    /** The complete response. */
    fun complete(run: EngineRun, text: String): String {
        val choice = if (isChat) {
            Choice(message = Content("assistant", text), finishReason = "length")
        } else {
            Choice(text = text, finishReason = "length")
        }
        return responseJson.encodeToString(body(COMPLETE, listOf(choice), usage(run)))
    }

    private fun part(choice: Choice) = line(body(PART, listOf(choice), null))

    private fun line(body: CompletionResponse) = "data: ${responseJson.encodeToString(body)}\n\n"

    private fun body(chatKind: String, choices: List<Choice>, usage: Usage?) = CompletionResponse(
        id = "cmpl-$responseId",
        kind = if (isChat) chatKind else "text_completion",
        created = created,
        model = request.model,
        choices = choices,
        usage = usage,
    )

    private fun usage(run: EngineRun) = Usage(
        promptTokens = run.promptTokens,
        completionTokens = run.generated,
        totalTokens = run.promptTokens + run.generated,
    )

    private companion object {
        const val PART = "chat.completion.chunk"
        const val COMPLETE = "chat.completion"
    }
}
