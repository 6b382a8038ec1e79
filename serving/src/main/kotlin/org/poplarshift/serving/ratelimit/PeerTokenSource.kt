package org.poplarshift.serving.ratelimit

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.poplarshift.core.allowance.TokenLoan
import org.poplarshift.serving.fleet.FleetMember
import org.poplarshift.serving.fleet.FleetMembers
import org.poplarshift.serving.peer.PeerClient
import org.poplarshift.serving.peer.PeerMessages
import org.poplarshift.serving.peer.PeerServer

/** Lends and borrows rate-limit tokens between nodes. */
class PeerTokenSource(private val client: PeerClient, private val members: FleetMembers) : TokenSource {
    @Serializable
    private data class TokenRequest(val organisation: String, val wanted: Double, val room: Double = 0.0)

    // A node of an earlier release states no times and keeps no room free, so that its loans end at once.
    @Serializable
    private data class TokenResponse(
        @SerialName("given") val granted: Double,
        val transit: Double = 0.0,
        val holdMillis: Double = 0.0,
        val returnMillis: Double = 0.0,
    )

    /** Serves token requests of other nodes with the loans that [lend] grants. */
    fun serve(server: PeerServer, lend: (String, Double, Double) -> TokenLoan?) {
        server.on(PATH) { body ->
            PeerMessages.decode(TokenRequest.serializer(), body, COMPONENT)?.let { request ->
                val response = lend(request.organisation, request.wanted, request.room)
                    ?.let { TokenResponse(it.amount, it.transitAmount, it.holdMillis, it.returnMillis) }
                Json.encodeToString(TokenResponse.serializer(), response ?: TokenResponse(granted = 0.0))
            }
        }
    }

    override suspend fun request(organisation: String, wanted: Double, room: Double): List<TokenLoan> {
        val peers = members.peers.shuffled().take(MAXIMUM_PEERS_PER_REQUEST)
        val request = TokenRequest(organisation, wanted / peers.size, room / peers.size)
        return coroutineScope {
            peers.map { async { requestFromPeer(it, request) } }.awaitAll().filterNotNull()
        }
    }

    // Tokens that a peer lends after the timeout are lost, which only lowers the total.
    private suspend fun requestFromPeer(peer: FleetMember, request: TokenRequest): TokenLoan? {
        val body = Json.encodeToString(TokenRequest.serializer(), request)
        val response = client.post(peer, PATH, body, REQUEST_TIMEOUT_MILLIS) ?: return null
        return PeerMessages.decode(TokenResponse.serializer(), response, COMPONENT)
            ?.let { TokenLoan(it.granted, it.transit, it.holdMillis, it.returnMillis) }
            ?.takeIf { it.amount > 0 }
    }

    private companion object {
        const val COMPONENT = "allowance"
        const val PATH = "/tokens"

        // Several times the network delay between zones.
        const val REQUEST_TIMEOUT_MILLIS = 25L
        const val MAXIMUM_PEERS_PER_REQUEST = 4
    }
}
