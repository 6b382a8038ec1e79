package org.poplarshift.node.forward

import io.github.oshai.kotlinlogging.KotlinLogging
import io.vertx.core.Vertx
import io.vertx.core.http.HttpClientOptions
import io.vertx.core.http.HttpClientRequest
import io.vertx.core.http.HttpClientResponse
import io.vertx.core.http.PoolOptions
import io.vertx.core.http.RequestOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
import org.poplarshift.core.catalogue.UpstreamKind
import org.poplarshift.core.catalogue.Worker
import org.poplarshift.core.verdict.RefusalReason
import org.poplarshift.core.verdict.Verdict
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.serving.http.SocketAddresses

/**
 * Sends requests over pooled HTTP connections.
 *
 * A connection is returned to the pool only after a complete response to the matching request. Otherwise it is closed,
 * because a later request on it could receive the response to this one.
 */
class DefaultUpstreamClient(vertx: Vertx, localHost: String, clock: MonotonicClock) : UpstreamClient {
    private val canceller = StreamCanceller(vertx, localHost)
    private val staleConnections = StaleConnectionTracker(clock)
    private val client = vertx.httpClientBuilder()
        .with(
            HttpClientOptions()
                .setKeepAliveTimeout(KEEP_ALIVE_SECONDS)
                .setMaxHeaderSize(MAXIMUM_HEADER_BYTES)
                .setLocalAddress(localHost),
        )
        .with(PoolOptions().setHttp1MaxSize(CONNECTIONS_PER_WORKER))
        .withConnectHandler { staleConnections.onConnected(it) }
        .build()

    override suspend fun send(worker: Worker, request: UpstreamRequest, sink: ResponseSink): Verdict {
        val sent = connect(worker, request) ?: return Verdict.NotRun(RefusalReason.CONNECT_FAILED)
        var isComplete = false
        try {
            val verdict = exchange(sent, request, sink)
            if (verdict == TIMEOUT) staleConnections.onTimeout(worker.address)
            isComplete = verdict is Verdict.Answered
            return verdict
        } finally {
            if (!isComplete) abort(worker, request, sent)
        }
    }

    private suspend fun connect(worker: Worker, request: UpstreamRequest): HttpClientRequest? {
        var connected = acquire(worker, request)
        while (connected != null && staleConnections.isStale(connected.connection(), worker.address)) {
            connected.connection().close()
            connected = acquire(worker, request)
        }
        return connected
    }

    private suspend fun acquire(worker: Worker, request: UpstreamRequest): HttpClientRequest? {
        val socket = SocketAddresses.parse(worker.address)
        val options = RequestOptions()
            .setHost(socket.host())
            .setPort(socket.port())
            .setMethod(request.method)
            .setURI(request.path)
            .setHeaders(request.headers)
            .putHeader(REQUEST_ID, request.requestId)
            .setConnectTimeout(request.timeouts.connectMillis)
        val pending = client.request(options).onSuccess { connected ->
            connected.exceptionHandler { log.debug { "forward: sending ${request.requestId} failed: ${it.message}" } }
        }
        val connected = try {
            withTimeoutOrNull(request.timeouts.connectMillis) { pending.coAwait() }
        } catch (exception: CancellationException) {
            pending.onSuccess { it.connection().close() }
            throw exception
        } catch (exception: Exception) {
            log.debug { "forward: failed to connect to worker ${worker.id}: ${exception.message}" }
            return null
        }
        if (connected == null) pending.onSuccess { it.connection().close() }
        return connected
    }

    private suspend fun exchange(sent: HttpClientRequest, request: UpstreamRequest, sink: ResponseSink): Verdict {
        val response = try {
            withTimeoutOrNull(request.timeouts.firstByteMillis) { awaitResponse(sent, request) }
        } catch (exception: CancellationException) {
            throw exception
        } catch (exception: Exception) {
            log.debug { "forward: connection lost for request ${request.requestId}: ${exception.message}" }
            return Verdict.MayHaveRun(RefusalReason.CONNECTION_LOST)
        }
        if (response == null) return TIMEOUT
        if (!matchesRequest(request, response)) return Verdict.MayHaveRun(RefusalReason.WRONG_RESPONSE)
        if (request.kind == UpstreamKind.MODEL && response.statusCode() == UNAVAILABLE) {
            return Verdict.MayHaveRun(RefusalReason.UPSTREAM_REFUSED)
        }
        return relay(response, request, sink)
    }

    // The response must be paused in the event that delivers it, because the coroutine resumes in a later event.
    private suspend fun awaitResponse(sent: HttpClientRequest, request: UpstreamRequest): HttpClientResponse {
        val pending = if (request.body.length() == 0) sent.send() else sent.send(request.body)
        return pending.onSuccess { response ->
            response.pause()
            response.exceptionHandler { log.debug { "forward: reading ${request.requestId} failed: ${it.message}" } }
        }.coAwait()
    }

    private fun matchesRequest(request: UpstreamRequest, response: HttpClientResponse): Boolean {
        val echoed = response.getHeader(REQUEST_ID)
        val isMatching = echoed == request.requestId || (echoed == null && request.kind == UpstreamKind.SERVICE)
        if (!isMatching) log.warn { "forward: dropped response to request ${request.requestId}: it has the id $echoed" }
        return isMatching
    }

    private suspend fun relay(response: HttpClientResponse, request: UpstreamRequest, sink: ResponseSink): Verdict {
        val body = ResponseBody(response)
        sink.start(response.statusCode(), response.headers())
        while (true) {
            when (val part = body.next(request.timeouts.idleMillis)) {
                is ResponsePart.Chunk -> sink.write(part.bytes)
                is ResponsePart.Lost -> return Verdict.MayHaveRun(RefusalReason.CONNECTION_LOST)
                null -> return TIMEOUT
                ResponsePart.End -> {
                    if (!body.hasDefiniteEnd()) return Verdict.MayHaveRun(RefusalReason.CONNECTION_LOST)
                    sink.end()
                    return Verdict.Answered(response.statusCode())
                }
            }
        }
    }

    private fun abort(worker: Worker, request: UpstreamRequest, sent: HttpClientRequest) {
        sent.connection()?.close()
        if (request.kind == UpstreamKind.MODEL) canceller.cancel(worker, request.requestId)
    }

    private companion object {
        val log = KotlinLogging.logger {}
        val TIMEOUT = Verdict.MayHaveRun(RefusalReason.UPSTREAM_TIMEOUT)
        const val REQUEST_ID = "X-Request-Id"
        const val UNAVAILABLE = 503

        // Shorter than the idle timeouts of common HTTP servers, so that a worker rarely closes a pooled connection
        // while a request is being sent.
        const val KEEP_ALIVE_SECONDS = 4
        const val MAXIMUM_HEADER_BYTES = 65_536

        // The dispatcher limits the requests of a worker, so the pool must not queue any.
        const val CONNECTIONS_PER_WORKER = 4_096
    }
}
