package org.poplarshift.standins.caller

import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClientOptions
import io.vertx.core.http.HttpClientRequest
import io.vertx.core.http.HttpClientResponse
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.PoolOptions
import io.vertx.core.http.RequestOptions
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import org.poplarshift.standins.PlatformHeaders
import org.poplarshift.standins.http.monotonicMillis

/** Callers of the users' platform. Connections stay open and are used again for as long as the node keeps them. */
class CallerClient(vertx: Vertx) {
    private val client = vertx.createHttpClient(
        HttpClientOptions().setConnectTimeout(CONNECT_MILLIS).setKeepAliveTimeout(KEEP_ALIVE_SECONDS),
        PoolOptions().setHttp1MaxSize(CONNECTIONS_PER_NODE),
    )

    /** Sends [call] to the node at [port] of [nodeHost] and waits for the response, or until its deadline has passed. */
    suspend fun send(call: Call, nodeHost: String, port: Int): CallResult {
        val response = PartialResponse(monotonicMillis())
        val waitMillis = call.leaveAfterMillis ?: (call.deadlineMillis + GRACE_MILLIS)
        val failure = withTimeoutOrNull(waitMillis) { exchange(call, nodeHost, port, response) }
        if (response.isOpen) response.abandon()
        return response.toResult(failure ?: "no complete response in time".takeIf { !response.isComplete })
    }

    private suspend fun exchange(call: Call, nodeHost: String, port: Int, response: PartialResponse): String? {
        val ended = CompletableDeferred<String?>()
        val options = RequestOptions().setMethod(HttpMethod.valueOf(call.method)).setHost(nodeHost).setPort(port)
            .setURI(call.uri)
            .putHeader("Host", call.host)
            .putHeader(PlatformHeaders.REQUEST_ID, call.id)
            .putHeader(PlatformHeaders.DEADLINE, call.deadlineMillis.toString())
            .putHeader(PlatformHeaders.KEY, call.key)
        call.waitMillis?.let { options.putHeader(PlatformHeaders.WAIT, it.toString()) }
        call.resumeAfter?.let { options.putHeader(PlatformHeaders.LAST_EVENT, it.toString()) }
        call.resumedRequestId?.let { options.putHeader(PlatformHeaders.RESUMED_REQUEST, it) }
        client.request(options).onFailure { ended.complete("connect: ${it.message}") }.onSuccess { request ->
            response.onSent { request.reset() }
            request.exceptionHandler { ended.complete("connection lost: ${it.message}") }
            request.response().onSuccess { receive(it, response, ended) }
                .onFailure { ended.complete("connection lost: ${it.message}") }
            send(request, call)
        }
        return ended.await()
    }

    private fun send(request: HttpClientRequest, call: Call) {
        if (!call.isChunked) {
            request.end(Buffer.buffer(call.body))
            return
        }
        request.setChunked(true)
        call.body.chunked(CHUNK_CHARACTERS).forEach { request.write(it) }
        request.end()
    }

    private fun receive(received: HttpClientResponse, response: PartialResponse, ended: CompletableDeferred<String?>) {
        response.status = received.statusCode()
        response.stamp = received.getHeader(PlatformHeaders.STAMP)
        received.handler { response.body.append(it.toString()) }
        received.exceptionHandler { ended.complete("response broken off: ${it.message}") }
        received.endHandler {
            response.isComplete = true
            ended.complete(null)
        }
    }

    /** A response as far as it has been received. */
    private class PartialResponse(private val sentMillis: Long) {
        private var reset: () -> Unit = {}
        val body = StringBuilder()
        var status: Int? = null
        var stamp: String? = null
        var isComplete = false

        val isOpen: Boolean
            get() = !isComplete

        fun onSent(reset: () -> Unit) {
            this.reset = reset
        }

        fun abandon() = reset()

        fun toResult(failure: String?) =
            CallResult(status, stamp, body.toString(), isComplete, failure, sentMillis, monotonicMillis())
    }

    private companion object {
        const val CONNECT_MILLIS = 1_000
        const val CHUNK_CHARACTERS = 7
        const val KEEP_ALIVE_SECONDS = 12
        const val CONNECTIONS_PER_NODE = 200

        // A caller waits a little longer than the time that it states.
        const val GRACE_MILLIS = 1_500L
    }
}
