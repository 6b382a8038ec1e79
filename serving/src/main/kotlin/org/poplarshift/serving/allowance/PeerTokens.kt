package org.poplarshift.serving.allowance

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.poplarshift.serving.fleet.FleetMember
import org.poplarshift.serving.fleet.FleetMembers
import org.poplarshift.serving.peer.PeerClient
import org.poplarshift.serving.peer.PeerMessages
import org.poplarshift.serving.peer.PeerServer

/** Moves tokens between nodes. */
class PeerTokens(private val client: PeerClient, private val members: FleetMembers) : TokenSource {
    @Serializable
    private data class TokenRequest(val organisation: String, val wanted: Double)

    @Serializable
    private data class TokenAnswer(val given: Double)

    /** Answers other nodes with what [give] takes out. */
    fun serve(server: PeerServer, give: (String, Double) -> Double) {
        server.on(PATH) { body ->
            PeerMessages.decode(TokenRequest.serializer(), body, PART)?.let { asked ->
                Json.encodeToString(TokenAnswer.serializer(), TokenAnswer(give(asked.organisation, asked.wanted)))
            }
        }
    }

    override suspend fun ask(organisation: String, wanted: Double): Double {
        val asked = members.peers.shuffled().take(PEERS_ASKED)
        if (asked.isEmpty()) return 0.0
        return coroutineScope {
            asked.map { async { askPeer(it, organisation, wanted / asked.size) } }.awaitAll().sum()
        }
    }

    // Tokens that a peer gives after the time is up are lost, which only lowers the total.
    private suspend fun askPeer(peer: FleetMember, organisation: String, wanted: Double): Double {
        val body = Json.encodeToString(TokenRequest.serializer(), TokenRequest(organisation, wanted))
        val answer = client.post(peer, PATH, body, ASK_MILLIS) ?: return 0.0
        return PeerMessages.decode(TokenAnswer.serializer(), answer, PART)?.given ?: 0.0
    }

    private companion object {
        const val PART = "allowance"
        const val PATH = "/tokens"

        // Several times the delay between zones.
        const val ASK_MILLIS = 25L
        const val PEERS_ASKED = 4
    }
}
