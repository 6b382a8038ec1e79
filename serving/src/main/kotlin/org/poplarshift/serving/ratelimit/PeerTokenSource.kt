package org.poplarshift.serving.ratelimit

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.poplarshift.serving.fleet.FleetMember
import org.poplarshift.serving.fleet.FleetMembers
import org.poplarshift.serving.peer.PeerClient
import org.poplarshift.serving.peer.PeerMessages
import org.poplarshift.serving.peer.PeerServer

/** Transfers rate-limit tokens between nodes. */
class PeerTokenSource(private val client: PeerClient, private val members: FleetMembers) : TokenSource {
    @Serializable
    private data class TokenRequest(val organisation: String, val wanted: Double)

    @Serializable
    private data class TokenResponse(@SerialName("given") val granted: Double)

    /** Serves token requests of other nodes with the tokens that [grant] withdraws. */
    fun serve(server: PeerServer, grant: (String, Double) -> Double) {
        server.on(PATH) { body ->
            PeerMessages.decode(TokenRequest.serializer(), body, COMPONENT)?.let { request ->
                Json.encodeToString(
                    TokenResponse.serializer(),
                    TokenResponse(grant(request.organisation, request.wanted)),
                )
            }
        }
    }

    override suspend fun request(organisation: String, wanted: Double): Double {
        val peers = members.peers.shuffled().take(MAXIMUM_PEERS_PER_REQUEST)
        if (peers.isEmpty()) return 0.0
        return coroutineScope {
            peers.map { async { requestFromPeer(it, organisation, wanted / peers.size) } }.awaitAll().sum()
        }
    }

    // Tokens that a peer grants after the timeout are lost, which only lowers the total.
    private suspend fun requestFromPeer(peer: FleetMember, organisation: String, wanted: Double): Double {
        val body = Json.encodeToString(TokenRequest.serializer(), TokenRequest(organisation, wanted))
        val response = client.post(peer, PATH, body, REQUEST_TIMEOUT_MILLIS) ?: return 0.0
        return PeerMessages.decode(TokenResponse.serializer(), response, COMPONENT)?.granted ?: 0.0
    }

    private companion object {
        const val COMPONENT = "allowance"
        const val PATH = "/tokens"

        // Several times the network delay between zones.
        const val REQUEST_TIMEOUT_MILLIS = 25L
        const val MAXIMUM_PEERS_PER_REQUEST = 4
    }
}
