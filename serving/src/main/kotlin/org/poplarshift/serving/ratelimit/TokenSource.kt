package org.poplarshift.serving.ratelimit

import org.poplarshift.core.allowance.TokenLoan

/** Access to the tokens that other nodes hold. */
interface TokenSource {
    /** Name of this node. */
    val ownName: String

    /** Names of the other nodes. */
    val peers: List<String>

    /** Whether [peer] did not respond a short time ago. */
    fun isSuspect(peer: String): Boolean

    /**
     * Requests up to [wanted] tokens of [organisation] from [peer], for [room] of which this node has room within its share.
     * Returns null if the peer has none or does not respond.
     */
    suspend fun borrow(peer: String, organisation: String, wanted: Double, room: Double): TokenLoan?

    /** Asks [peer] to consume one token of [organisation] for a request at this node. */
    suspend fun consume(peer: String, organisation: String): PeerConsumption
}
