package org.poplarshift.serving.ratelimit

import kotlinx.coroutines.delay
import org.poplarshift.core.allowance.TokenLoan

/** Sends messages from node [own] to the other [limiters], each after [oneWayMillis]. Nodes in [unreachable] do not respond. */
class FakeTokenSource(
    private val own: Int,
    private val oneWayMillis: Long = 0,
    private val unreachable: Set<String> = emptySet(),
    private val isKnown: Boolean = true,
    private val limiters: () -> List<RateLimiter>,
) : TokenSource {
    override val ownName = own.toString()

    override val peers: List<String>
        get() = limiters().indices.filter { it != own }.map { it.toString() }

    override fun isSuspect(peer: String): Boolean = isKnown && peer in unreachable

    override suspend fun borrow(peer: String, organisation: String, wanted: Double, room: Double): TokenLoan? =
        call(peer) { limiters()[peer.toInt()].lend(organisation, wanted, room) }

    override suspend fun consume(peer: String, organisation: String): PeerConsumption =
        call(peer) { limiters()[peer.toInt()].consumeForPeer(organisation) } ?: PeerConsumption.Unanswered

    private suspend fun <T> call(peer: String, respond: suspend () -> T): T? {
        delay(oneWayMillis)
        if (peer in unreachable) return null
        val response = respond()
        delay(oneWayMillis)
        return response
    }
}
