package org.poplarshift.node.dispatch

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import org.poplarshift.node.peer.PeerClient
import org.poplarshift.node.peer.PeerDirectory
import org.poplarshift.node.peer.PeerResult
import org.poplarshift.wire.QuarantineRequest
import org.poplarshift.wire.QuarantineResponse

/** Sends `POST /peer/suspects` to all peers. */
class SuspectMessenger(private val peers: PeerDirectory, private val client: PeerClient) {
    /** The addresses of all known peers. */
    val addresses: Set<String>
        get() = peers.peers.value.map { it.address }.toSet()

    /** Sends [message] to [addresses] concurrently. Returns the responses, with null for a peer that sent none. */
    suspend fun sendToAll(message: QuarantineRequest, addresses: Set<String>): Map<String, QuarantineResponse?> =
        coroutineScope {
            addresses.map { address -> async { address to send(message, address) } }.awaitAll().toMap()
        }

    private suspend fun send(message: QuarantineRequest, address: String): QuarantineResponse? {
        val result = client.post(
            address,
            PATH,
            message,
            QuarantineRequest.serializer(),
            QuarantineResponse.serializer(),
        )
        return (result as? PeerResult.Answered)?.response
    }

    companion object {
        /** The path on the peers port. */
        const val PATH = "/peer/suspects"
    }
}
