package org.poplarshift.node.peer

import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.PoolOptions
import io.vertx.ext.web.client.HttpResponse
import io.vertx.ext.web.client.WebClient
import io.vertx.ext.web.client.WebClientOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.KSerializer
import org.poplarshift.serving.http.SocketAddresses
import org.poplarshift.wire.WireJson

/**
 * Sends each peer message with a deadline. The deadline includes the time to connect. A connection on which a deadline
 * expires is closed, so that an unresponsive connection is not reused.
 */
class HttpPeerClient(vertx: Vertx, localHost: String) : PeerClient {
    private val client = WebClient.create(
        vertx,
        WebClientOptions()
            .setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
            .setKeepAliveTimeout(KEEP_ALIVE_SECONDS)
            .setLocalAddress(localHost),
        PoolOptions().setHttp1MaxSize(CONNECTIONS_PER_PEER),
    )

    override suspend fun <Request, Response> post(
        address: String,
        path: String,
        message: Request,
        requestSerializer: KSerializer<Request>,
        responseSerializer: KSerializer<Response>,
        timeoutMillis: Long,
    ): PeerResult<Response> {
        val body = Buffer.buffer(WireJson.lenient.encodeToString(requestSerializer, message))
        return send(HttpMethod.POST, address, path, body, responseSerializer, timeoutMillis)
    }

    override suspend fun <Response> get(
        address: String,
        path: String,
        responseSerializer: KSerializer<Response>,
        timeoutMillis: Long,
    ): PeerResult<Response> = send(HttpMethod.GET, address, path, null, responseSerializer, timeoutMillis)

    private suspend fun <Response> send(
        method: HttpMethod,
        address: String,
        path: String,
        body: Buffer?,
        responseSerializer: KSerializer<Response>,
        timeoutMillis: Long,
    ): PeerResult<Response> {
        val socket = SocketAddresses.parse(address)
        val request = client.request(method, socket.port(), socket.host(), path).timeout(timeoutMillis)
        return try {
            withTimeoutOrNull(timeoutMillis) {
                val sent = if (body == null) request.send() else request.sendBuffer(body)
                decode(sent.coAwait(), responseSerializer)
            } ?: PeerResult.Unreachable("no response within $timeoutMillis ms")
        } catch (exception: CancellationException) {
            throw exception
        } catch (exception: Exception) {
            PeerResult.Unreachable(exception.message ?: exception.javaClass.simpleName)
        }
    }

    private fun <Response> decode(
        response: HttpResponse<Buffer>,
        responseSerializer: KSerializer<Response>,
    ): PeerResult<Response> {
        if (response.statusCode() != OK) return PeerResult.Unreachable("status ${response.statusCode()}")
        return PeerResult.Answered(WireJson.lenient.decodeFromString(responseSerializer, response.bodyAsString()))
    }

    private companion object {
        const val CONNECT_TIMEOUT_MILLIS = 500
        const val KEEP_ALIVE_SECONDS = 10
        const val OK = 200

        // Slot and token messages must not queue behind an exchange with a slow peer.
        const val CONNECTIONS_PER_PEER = 32
    }
}
