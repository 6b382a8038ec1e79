package org.poplarshift.node.dispatch

import io.netty.channel.ConnectTimeoutException
import io.vertx.core.Vertx
import io.vertx.core.http.HttpMethod
import io.vertx.ext.web.client.WebClient
import io.vertx.ext.web.client.WebClientOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
import org.poplarshift.core.catalogue.Worker
import org.poplarshift.core.routing.LoadReport
import org.poplarshift.serving.http.SocketAddresses
import org.poplarshift.wire.WireJson
import java.net.ConnectException

/**
 * Polls workers with `GET /load`.
 *
 * @param localHost the local IP address of outgoing connections
 */
class HttpLoadPoller(vertx: Vertx, localHost: String, private val timeoutMillis: Long = 1_000) : LoadPoller {
    private val client = WebClient.create(
        vertx,
        WebClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS).setLocalAddress(localHost),
    )

    override suspend fun poll(worker: Worker): LoadPollResult {
        val socket = SocketAddresses.parse(worker.address)
        val request = client.request(HttpMethod.GET, socket.port(), socket.host(), "/load").timeout(timeoutMillis)
        return try {
            val response = withTimeoutOrNull(timeoutMillis) { request.send().coAwait() }
            when {
                response == null -> LoadPollResult.NoAnswer("no response within $timeoutMillis ms")
                response.statusCode() != OK -> LoadPollResult.NoAnswer("status ${response.statusCode()}")
                else -> LoadPollResult.Reported(
                    WireJson.lenient.decodeFromString(LoadReport.serializer(), response.bodyAsString()),
                )
            }
        } catch (exception: CancellationException) {
            throw exception
        } catch (exception: Exception) {
            failure(exception)
        }
    }

    private fun failure(exception: Exception): LoadPollResult {
        val isRefused = exception is ConnectException && exception !is ConnectTimeoutException
        return if (isRefused) LoadPollResult.Refused else LoadPollResult.NoAnswer("${exception.message}")
    }

    private companion object {
        const val CONNECT_TIMEOUT_MILLIS = 500
        const val OK = 200
    }
}
