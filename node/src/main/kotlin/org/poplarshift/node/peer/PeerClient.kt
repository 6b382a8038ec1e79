package org.poplarshift.node.peer

import kotlinx.serialization.KSerializer

/** Sends messages to other nodes as JSON over HTTP. */
interface PeerClient {
    /** Posts [message] to [path] of the peer at [address]. Waits at most [timeoutMillis] for the response. */
    suspend fun <Request, Response> post(
        address: String,
        path: String,
        message: Request,
        requestSerializer: KSerializer<Request>,
        responseSerializer: KSerializer<Response>,
        timeoutMillis: Long = 1_000,
    ): PeerResult<Response>

    /** Gets [path] of the peer at [address]. Waits at most [timeoutMillis] for the response. */
    suspend fun <Response> get(
        address: String,
        path: String,
        responseSerializer: KSerializer<Response>,
        timeoutMillis: Long = 1_000,
    ): PeerResult<Response>
}

/** The outcome of a message to a peer. */
sealed interface PeerResult<out Response> {
    /** The peer sent a valid response. */
    data class Answered<Response>(val response: Response) : PeerResult<Response>

    /** No valid response was received; the peer may have processed the message. */
    data class Unreachable(val reason: String) : PeerResult<Nothing>
}
