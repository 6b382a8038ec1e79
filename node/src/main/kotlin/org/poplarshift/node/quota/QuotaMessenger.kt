package org.poplarshift.node.quota

import kotlinx.serialization.KSerializer
import org.poplarshift.core.quota.OutgoingShareRequest
import org.poplarshift.core.quota.OutgoingTokenRequest
import org.poplarshift.core.quota.ShareGrant
import org.poplarshift.core.quota.ShareRequest
import org.poplarshift.core.quota.TokenGrant
import org.poplarshift.core.quota.TokenRequest
import org.poplarshift.node.peer.PeerClient
import org.poplarshift.node.peer.PeerResult

/** Sends requests for tokens and shares to slot holders. */
class QuotaMessenger(
    private val client: PeerClient,
    private val incarnation: String,
    private val addressOf: (incarnation: String) -> String?,
) {
    /** Sends [outgoing] to its holder. Returns null when no response is received in time. */
    suspend fun send(outgoing: OutgoingTokenRequest): TokenGrant? =
        post(outgoing.holder, TOKENS_PATH, outgoing.request, TokenRequest.serializer(), TokenGrant.serializer())

    /** Sends [outgoing] to its holder. Returns null when no response is received in time. */
    suspend fun send(outgoing: OutgoingShareRequest): ShareGrant? {
        val request = ShareRequest(incarnation, outgoing.organisations)
        return post(outgoing.holder, SHARES_PATH, request, ShareRequest.serializer(), ShareGrant.serializer())
    }

    private suspend fun <Request, Response> post(
        holder: String,
        path: String,
        request: Request,
        requestSerializer: KSerializer<Request>,
        responseSerializer: KSerializer<Response>,
    ): Response? {
        val address = addressOf(holder) ?: return null
        val result = client.post(address, path, request, requestSerializer, responseSerializer, TIMEOUT_MILLIS)
        return (result as? PeerResult.Answered)?.response
    }

    companion object {
        const val TOKENS_PATH = "/peer/tokens"
        const val SHARES_PATH = "/peer/shares"

        /** Exceeds the time that a request waits for a token, so that later requests can use a late response. */
        private const val TIMEOUT_MILLIS = 300L
    }
}
