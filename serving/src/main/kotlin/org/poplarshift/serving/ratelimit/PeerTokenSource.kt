package org.poplarshift.serving.ratelimit

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.poplarshift.core.allowance.TokenLoan
import org.poplarshift.serving.fleet.FleetMembers
import org.poplarshift.serving.peer.PeerClient
import org.poplarshift.serving.peer.PeerMessages
import org.poplarshift.serving.peer.PeerReachability
import org.poplarshift.serving.peer.PeerServer

/** Lends and borrows rate-limit tokens between nodes. */
class PeerTokenSource(
    override val ownName: String,
    private val client: PeerClient,
    private val members: FleetMembers,
    private val reachability: PeerReachability,
) : TokenSource {
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

    @Serializable
    private data class ConsumeRequest(val organisation: String)

    @Serializable
    private data class ConsumeResponse(val isConsumed: Boolean, val waitMillis: Long = 0)

    override val peers: List<String>
        get() = members.peers.map { it.name }

    override fun isSuspect(peer: String): Boolean = reachability.isSuspect(peer)

    /** Serves requests of other nodes with the loans that [lend] grants and the tokens that [consume] consumes. */
    fun serve(
        server: PeerServer,
        lend: (String, Double, Double) -> TokenLoan?,
        consume: suspend (String) -> PeerConsumption,
    ) {
        server.on(CONSUME_PATH) { body ->
            PeerMessages.decode(ConsumeRequest.serializer(), body, COMPONENT)?.let { request ->
                val response = when (val result = consume(request.organisation)) {
                    PeerConsumption.Consumed -> ConsumeResponse(isConsumed = true)
                    is PeerConsumption.Refused -> ConsumeResponse(isConsumed = false, result.waitMillis)
                    PeerConsumption.Unanswered -> ConsumeResponse(isConsumed = false)
                }
                Json.encodeToString(ConsumeResponse.serializer(), response)
            }
        }
        server.on(PATH) { body ->
            PeerMessages.decode(TokenRequest.serializer(), body, COMPONENT)?.let { request ->
                val response = lend(request.organisation, request.wanted, request.room)
                    ?.let { TokenResponse(it.amount, it.transitAmount, it.holdMillis, it.returnMillis) }
                Json.encodeToString(TokenResponse.serializer(), response ?: TokenResponse(granted = 0.0))
            }
        }
    }

    // Tokens that a peer lends after the timeout are lost, which only lowers the total.
    override suspend fun borrow(peer: String, organisation: String, wanted: Double, room: Double): TokenLoan? {
        val body = Json.encodeToString(TokenRequest.serializer(), TokenRequest(organisation, wanted, room))
        val response = post(peer, PATH, body, REQUEST_TIMEOUT_MILLIS) ?: return null
        return PeerMessages.decode(TokenResponse.serializer(), response, COMPONENT)
            ?.let { TokenLoan(it.granted, it.transit, it.holdMillis, it.returnMillis) }
            ?.takeIf { it.amount > 0 }
    }

    override suspend fun consume(peer: String, organisation: String): PeerConsumption {
        val body = Json.encodeToString(ConsumeRequest.serializer(), ConsumeRequest(organisation))
        val response = post(peer, CONSUME_PATH, body, CONSUME_TIMEOUT_MILLIS)
            ?.let { PeerMessages.decode(ConsumeResponse.serializer(), it, COMPONENT) }
        return when {
            response == null -> PeerConsumption.Unanswered
            response.isConsumed -> PeerConsumption.Consumed
            else -> PeerConsumption.Refused(response.waitMillis)
        }
    }

    private suspend fun post(peer: String, path: String, body: String, timeoutMillis: Long): String? {
        val member = members.peers.firstOrNull { it.name == peer } ?: return null
        val response = client.post(member, path, body, timeoutMillis)
        if (response == null) reachability.onFailure(peer)
        return response
    }

    private companion object {
        const val COMPONENT = "allowance"
        const val PATH = "/tokens"
        const val CONSUME_PATH = "/tokens/consume"

        // Several times the network delay between zones.
        const val REQUEST_TIMEOUT_MILLIS = 25L

        // The peer may first borrow from others.
        const val CONSUME_TIMEOUT_MILLIS = 40L
    }
}
