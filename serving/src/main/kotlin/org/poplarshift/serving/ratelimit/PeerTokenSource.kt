package org.poplarshift.serving.ratelimit

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.poplarshift.core.allowance.TokenDemand
import org.poplarshift.core.allowance.TokenLoan
import org.poplarshift.core.ingress.IngressOrganisation
import org.poplarshift.serving.fleet.FleetMembers
import org.poplarshift.serving.peer.PeerClient
import org.poplarshift.serving.peer.PeerMessages
import org.poplarshift.serving.peer.PeerReachability
import org.poplarshift.serving.peer.PeerServer

/** Lends and borrows rate-limit tokens between coordinators. */
class PeerTokenSource(
    private val client: PeerClient,
    private val members: FleetMembers,
    private val shares: ShareDirectory,
    private val reachability: PeerReachability,
) : TokenSource {
    // A node of an earlier release reads the first three fields only.
    @Serializable
    private data class TokenRequest(
        val organisation: String,
        val wanted: Double,
        val room: Double = 0.0,
        val needed: Double = 0.0,
        val held: Double = 0.0,
        val requests: Int = 0,
    )

    // A node of an earlier release states no times and keeps no room free, so that its loans end at once.
    @Serializable
    private data class TokenResponse(
        @SerialName("given") val granted: Double,
        val transit: Double = 0.0,
        val holdMillis: Double = 0.0,
        val returnMillis: Double = 0.0,
        val spent: Int = 0,
        val left: Double = 0.0,
    )

    override fun ownShare(organisation: IngressOrganisation): Double = shares.ownShare(organisation)

    override fun holders(organisation: IngressOrganisation): List<TokenHolder> =
        shares.holders(organisation).filterNot { reachability.isSuspect(it.node) }

    /** Serves requests of other nodes with what [lend] grants. */
    fun serve(server: PeerServer, lend: suspend (String, TokenDemand, Int) -> TokenGrant) {
        server.on(PATH) { body ->
            PeerMessages.decode(TokenRequest.serializer(), body, COMPONENT)?.let { request ->
                val demand = TokenDemand(request.wanted, request.needed, request.held, request.room)
                val grant = lend(request.organisation, demand, request.requests)
                Json.encodeToString(TokenResponse.serializer(), responseOf(grant))
            }
        }
    }

    private fun responseOf(grant: TokenGrant): TokenResponse {
        val loan = grant.loan ?: return TokenResponse(granted = 0.0, spent = grant.spent, left = grant.left)
        return TokenResponse(
            loan.amount,
            loan.transitAmount,
            loan.holdMillis,
            loan.returnMillis,
            grant.spent,
            grant.left,
        )
    }

    // Tokens that a holder gives after the timeout are lost, which only lowers the total.
    override suspend fun borrow(node: String, organisation: String, demand: TokenDemand, requests: Int): TokenGrant? {
        val request = TokenRequest(organisation, demand.wanted, demand.room, demand.needed, demand.held, requests)
        val timeoutMillis = if (requests > 0) SPENDING_TIMEOUT_MILLIS else LOAN_TIMEOUT_MILLIS
        val response = post(node, request, timeoutMillis)
        if (response == null) reachability.onFailure(node)
        return response?.let {
            val loan = TokenLoan(it.granted, it.transit, it.holdMillis, it.returnMillis)
            TokenGrant(loan.takeIf { granted -> granted.amount > 0 }, it.spent, it.left)
        }
    }

    /** Whether [node] responds to a request that asks for nothing. */
    suspend fun isResponding(node: String): Boolean =
        post(node, TokenRequest(organisation = "", wanted = 0.0), PROBE_TIMEOUT_MILLIS) != null

    private suspend fun post(node: String, request: TokenRequest, timeoutMillis: Long): TokenResponse? {
        val member = members.peers.firstOrNull { it.name == node } ?: return null
        val body = Json.encodeToString(TokenRequest.serializer(), request)
        return client.post(member, PATH, body, timeoutMillis)
            ?.let { PeerMessages.decode(TokenResponse.serializer(), it, COMPONENT) }
    }

    private companion object {
        const val COMPONENT = "allowance"
        const val PATH = "/tokens"

        // Several times the network delay between zones.
        const val LOAN_TIMEOUT_MILLIS = 25L

        // The holder may first borrow from others.
        const val SPENDING_TIMEOUT_MILLIS = 45L
        const val PROBE_TIMEOUT_MILLIS = 500L
    }
}
