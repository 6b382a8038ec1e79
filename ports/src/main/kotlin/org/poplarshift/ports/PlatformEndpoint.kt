package org.poplarshift.ports

import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import io.vertx.ext.web.client.HttpResponse
import io.vertx.ext.web.client.WebClient
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
import java.net.ConnectException

/**
 * Sends single requests with a deadline to one address of the platform.
 *
 * The web client's timeout covers only the time until the response head. Therefore [client] should have an idle
 * timeout that exceeds the longest long poll; otherwise a connection that stalls within a body stays in its pool.
 *
 * @property address IP address and port, such as `127.0.0.1:9000` or `[::1]:9000`
 */
internal class PlatformEndpoint(private val client: WebClient, private val address: String) {
    private val host = address.substringBeforeLast(':').removeSurrounding("[", "]")
    private val port = address.substringAfterLast(':').toInt()

    /** Sends a request and waits at most [deadlineMillis] for the complete response. */
    suspend fun send(method: HttpMethod, uri: String, body: String?, deadlineMillis: Long): PlatformResult {
        val request = client.request(method, port, host, uri).timeout(deadlineMillis)
        return try {
            val response = withTimeoutOrNull(deadlineMillis) {
                val responseFuture = if (body == null) request.send() else request.sendBuffer(Buffer.buffer(body))
                responseFuture.coAwait()
            }
            response?.let { toResult(it) }
                ?: PlatformResult.NoResponse("$address did not respond within $deadlineMillis ms")
        } catch (exception: ConnectException) {
            PlatformResult.NotSent("$address: ${exception.message}")
        } catch (exception: CancellationException) {
            throw exception
        } catch (exception: Exception) {
            PlatformResult.NoResponse("$address: ${exception.message ?: exception.javaClass.simpleName}")
        }
    }

    private fun toResult(response: HttpResponse<Buffer>) = PlatformResult.Response(
        status = response.statusCode(),
        body = response.bodyAsString().orEmpty(),
        retryAfterSeconds = response.getHeader("Retry-After")?.toLongOrNull(),
    )
}

/** The outcome of one HTTP request to the platform. */
internal sealed interface PlatformResult {
    /** A complete response was received. */
    data class Response(val status: Int, val body: String, val retryAfterSeconds: Long?) : PlatformResult

    /** No connection was established, so the platform has not received the request. */
    data class NotSent(val reason: String) : PlatformResult

    /** The platform may have received the request, but no complete response arrived. */
    data class NoResponse(val reason: String) : PlatformResult
}
