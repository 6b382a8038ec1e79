package org.poplarshift.operator.load

import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClient
import io.vertx.core.http.HttpMethod
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.withTimeout
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import org.poplarshift.wire.ErrorBody
import org.poplarshift.wire.WireJson

/** Sends the requests of one stream of a load plan and records their results. */
internal class LoadRequest(
    private val client: HttpClient,
    private val stream: LoadStream,
    private val key: String,
    private val results: OrganisationResults,
) {
    /**
     * Sends request number [index] of the stream; nodes and prompts are used in rotation.
     *
     * @param scheduledNanos scheduled send time on the monotonic clock
     */
    suspend fun run(index: Int, scheduledNanos: Long) {
        results.recordSent()
        try {
            withTimeout(stream.deadlineMillis) { exchange(index, scheduledNanos) }
        } catch (_: TimeoutCancellationException) {
            results.recordFailure("deadline")
        } catch (exception: CancellationException) {
            throw exception
        } catch (exception: Exception) {
            results.recordFailure("connection: ${exception.javaClass.simpleName}")
        }
    }

    private suspend fun exchange(index: Int, scheduledNanos: Long) {
        val node = stream.nodes[index % stream.nodes.size]
        val port = node.substringAfterLast(':').toInt()
        val host = node.substringBeforeLast(':')
        val request = client.request(HttpMethod.POST, port, host, "/v1/chat/completions").coAwait()
        request.putHeader("Authorization", "Bearer $key").putHeader("Content-Type", "application/json")
        val response = ResponseCollector(results)
        val responseEnd = request.response().compose { response.collect(it) }
        request.end(Buffer.buffer(requestBody(stream.prompts[index % stream.prompts.size])))
        try {
            responseEnd.coAwait()
        } catch (exception: CancellationException) {
            request.reset()
            throw exception
        }
        record(response, scheduledNanos)
    }

    private fun record(response: ResponseCollector, scheduledNanos: Long) {
        val content = response.content
        when {
            response.status != HTTP_OK -> results.recordFailure(errorCode(response.status, content))
            stream.stream && !content.trimEnd().endsWith("data: [DONE]") -> results.recordFailure("truncated")
            else -> results.recordSuccess(response.firstChunkNanos - scheduledNanos, System.nanoTime() - scheduledNanos)
        }
    }

    private fun errorCode(status: Int, content: String): String = try {
        WireJson.lenient.decodeFromString(ErrorBody.serializer(), content).error.code
    } catch (_: SerializationException) {
        "http_$status"
    }

    private fun requestBody(prompt: String): String = buildJsonObject {
        put("model", stream.model)
        put("max_tokens", stream.maxTokens)
        put("stream", stream.stream)
        putJsonArray("messages") {
            addJsonObject {
                put("role", "user")
                put("content", prompt)
            }
        }
    }.toString()

    private companion object {
        const val HTTP_OK = 200
    }
}
