package org.poplarshift.serving.allowance

import io.github.oshai.kotlinlogging.KotlinLogging
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpClientOptions
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.HttpServerOptions
import io.vertx.core.http.HttpServerRequest
import io.vertx.core.http.PoolOptions
import io.vertx.core.http.RequestOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerializationException
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.poplarshift.serving.fleet.FleetMember
import org.poplarshift.serving.fleet.FleetMembers
import org.poplarshift.serving.http.SocketAddresses

/** Moves tokens between nodes over HTTP. */
class PeerTokens(private val vertx: Vertx, localHost: String, private val members: FleetMembers) : TokenSource {
    @Serializable
    private data class TokenRequest(val organisation: String, val wanted: Double)

    @Serializable
    private data class TokenAnswer(val given: Double)

    private val client = vertx.createHttpClient(
        HttpClientOptions().setLocalAddress(localHost).setConnectTimeout(ASK_MILLIS.toInt()).setKeepAliveTimeout(IDLE_SECONDS),
        PoolOptions().setHttp1MaxSize(CONNECTIONS_PER_PEER),
    )

    /** Answers other nodes at [address] with what [give] takes out. */
    suspend fun listen(address: String, give: (String, Double) -> Double) {
        val socket = SocketAddresses.parse(address)
        vertx.createHttpServer(HttpServerOptions().setHost(socket.host()).setPort(socket.port()))
            .requestHandler { request -> request.body().onSuccess { answer(request, it, give) } }
            .listen()
            .coAwait()
    }

    override suspend fun ask(organisation: String, wanted: Double): Double {
        var given = 0.0
        for (peer in members.peers.shuffled().take(PEERS_ASKED)) {
            given += withTimeoutOrNull(ASK_MILLIS) { askPeer(peer, organisation, wanted - given) } ?: 0.0
            if (given >= wanted / 2) break
        }
        return given
    }

    // Tokens that a peer gives after the time is up are lost, which only lowers the total.
    private suspend fun askPeer(peer: FleetMember, organisation: String, wanted: Double): Double {
        val socket = SocketAddresses.parse(peer.peerAddress)
        val options = RequestOptions().setMethod(HttpMethod.POST).setHost(socket.host()).setPort(socket.port()).setURI(PATH)
        val body = Json.encodeToString(TokenRequest.serializer(), TokenRequest(organisation, wanted))
        return try {
            val request = client.request(options).coAwait()
            val response = request.send(Buffer.buffer(body)).compose { it.body() }.coAwait()
            Json.decodeFromString(TokenAnswer.serializer(), response.toString()).given
        } catch (exception: CancellationException) {
            throw exception
        } catch (exception: Exception) {
            logger.debug { "allowance: ${peer.name} does not answer: ${exception.message}" }
            0.0
        }
    }

    private fun answer(request: HttpServerRequest, body: Buffer, give: (String, Double) -> Double) {
        val asked = try {
            Json.decodeFromString(TokenRequest.serializer(), body.toString())
        } catch (exception: SerializationException) {
            logger.warn { "allowance: a question of ${request.remoteAddress()} can't be read: ${exception.message}" }
            request.response().setStatusCode(BAD_REQUEST).end()
            return
        }
        val given = if (request.path() == PATH) give(asked.organisation, asked.wanted) else 0.0
        request.response().end(Json.encodeToString(TokenAnswer.serializer(), TokenAnswer(given)))
    }

    private companion object {
        val logger = KotlinLogging.logger {}
        const val PATH = "/tokens"
        const val BAD_REQUEST = 400

        // Several times the delay between zones.
        const val ASK_MILLIS = 25L
        const val PEERS_ASKED = 3
        const val CONNECTIONS_PER_PEER = 4
        const val IDLE_SECONDS = 30
    }
}
