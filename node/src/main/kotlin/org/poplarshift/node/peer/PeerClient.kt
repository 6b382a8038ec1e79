package org.poplarshift.node.peer

import kotlinx.serialization.KSerializer

/** Sends messages to other nodes as HTTP with JSON. */
interface PeerClient {
    /** Posts [message] to [path] of the peer at [address] and waits at most [timeoutMillis] for the answer. */
    suspend fun <Request, Response> post(
        address: String,
        path: String,
        message: Request,
        requestSerializer: KSerializer<Request>,
        responseSerializer: KSerializer<Response>,
        timeoutMillis: Long = 1_000,
    ): PeerResult<Response>

    /** Gets [path] of the peer at [address] and waits at most [timeoutMillis] for the answer. */
    suspend fun <Response> get(
        address: String,
        path: String,
        responseSerializer: KSerializer<Response>,
        timeoutMillis: Long = 1_000,
    ): PeerResult<Response>
}

/** The outcome of a message to a peer. */
sealed interface PeerResult<out Response> {
    /** The peer answered. */
    data class Answered<Response>(val response: Response) : PeerResult<Response>

    /** No answer came; the message may have arrived. */
    data class Unreachable(val reason: String) : PeerResult<Nothing>
}
