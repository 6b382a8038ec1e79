package org.poplarshift.node.caller

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.longOrNull
import org.poplarshift.node.caller.CompletionResult.Invalid
import org.poplarshift.node.caller.CompletionResult.Valid
import org.poplarshift.wire.WireJson

/** Parses the fields of a completion request that determine routing and cost; all others are not interpreted. */
class CompletionParser {
    /** Parses the body of `POST /v1/chat/completions` if [isChat], otherwise of `POST /v1/completions`. */
    fun parse(body: String, isChat: Boolean): CompletionResult {
        if (nestingDepth(body) > MAXIMUM_DEPTH) return Invalid("", "JSON with at most $MAXIMUM_DEPTH nested levels")
        val root = try {
            WireJson.lenient.parseToJsonElement(body) as? JsonObject
        } catch (_: SerializationException) {
            null
        }
        if (root == null) return Invalid("", "a JSON object")
        val problem = problemOf(root, isChat)
        if (problem != null) return problem
        val prompt = promptText(if (isChat) root["messages"] else root["prompt"])
        return Valid(
            model = (root.getValue("model") as JsonPrimitive).content,
            costTokens = prompt.length / CHARACTERS_PER_TOKEN + 1 + maximumTokens(root),
            prefix = prompt.take(PREFIX_CHARACTERS),
            canonicalBody = canonical(root).toString(),
        )
    }

    private fun problemOf(root: JsonObject, isChat: Boolean): Invalid? = when {
        !isString(root["model"]) -> Invalid("model", "a string")
        !isAbsentOr(root["stream"]) { it is JsonPrimitive && !it.isString && it.booleanOrNull != null } ->
            Invalid("stream", "true or false")

        else -> TOKEN_LIMITS.firstOrNull {
            !isAbsentOr(root[it], ::isCount)
        }?.let { Invalid(it, "an integer, at least 0") }
            ?: if (isChat) messagesProblem(root["messages"]) else promptProblem(root["prompt"])
    }

    private fun messagesProblem(messages: JsonElement?): Invalid? {
        if (messages !is JsonArray ||
            messages.isEmpty()
        ) {
            return Invalid("messages", "an array with at least one message")
        }
        val index = messages.indexOfFirst { !isString((it as? JsonObject)?.get("role")) }
        return if (index >= 0) Invalid("messages[$index].role", "a string") else null
    }

    private fun promptProblem(prompt: JsonElement?): Invalid? =
        if (isString(prompt) || prompt is JsonArray) null else Invalid("prompt", "a string or an array")

    /** Returns the maximum number of open brackets outside of strings. */
    private fun nestingDepth(body: String): Int {
        var depth = 0
        var deepest = 0
        var isInString = false
        var index = 0
        while (index < body.length) {
            when (body[index]) {
                '"' -> isInString = !isInString
                '\\' -> index++
                '{', '[' -> if (!isInString) deepest = maxOf(deepest, ++depth)
                '}', ']' -> if (!isInString) depth--
            }
            index++
        }
        return deepest
    }

    private fun isString(element: JsonElement?): Boolean = element is JsonPrimitive && element.isString

    private fun isCount(element: JsonElement): Boolean {
        val count = (element as? JsonPrimitive)?.takeIf { !it.isString }?.longOrNull
        return count != null && count in 0..MAXIMUM_TOKENS
    }

    private fun isAbsentOr(element: JsonElement?, check: (JsonElement) -> Boolean): Boolean =
        element == null || element is JsonNull || check(element)

    private fun maximumTokens(root: JsonObject): Long =
        TOKEN_LIMITS.firstNotNullOfOrNull { (root[it] as? JsonPrimitive)?.longOrNull } ?: DEFAULT_MAXIMUM_TOKENS

    private fun promptText(element: JsonElement?): String = when (element) {
        is JsonPrimitive -> element.content
        is JsonArray -> element.joinToString("\n") { promptText(it) }
        is JsonObject -> promptText(element["content"] ?: element["text"])
        null -> ""
    }

    private fun canonical(element: JsonElement): JsonElement = when (element) {
        is JsonObject -> JsonObject(element.toSortedMap().mapValues { canonical(it.value) })
        is JsonArray -> JsonArray(element.map { canonical(it) })
        is JsonPrimitive -> element
    }

    private companion object {
        // The functions that traverse the document are recursive; the limit prevents a stack overflow.
        const val MAXIMUM_DEPTH = 128
        val TOKEN_LIMITS = listOf("max_completion_tokens", "max_tokens")
        const val CHARACTERS_PER_TOKEN = 4
        const val DEFAULT_MAXIMUM_TOKENS = 256L
        const val MAXIMUM_TOKENS = 10_000_000L
        const val PREFIX_CHARACTERS = 256
    }
}
