package org.poplarshift.serving.ratelimit

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import org.poplarshift.core.allowance.TokenBucketShare
import org.poplarshift.core.dispatch.RendezvousHash
import org.poplarshift.core.ingress.IngressOrganisation
import org.poplarshift.serving.MonotonicClock

/**
 * Admits requests of organisations of which each node's share is less than one token.
 *
 * The nodes choose one of them for an organisation by rendezvous hashing. It borrows the fractions that the others hold and
 * consumes tokens for their requests. A node that can't reach it asks the next one. Nodes that choose differently collect
 * fewer tokens each, but never more than the shares of all nodes.
 */
class TokenCollector(
    private val clock: MonotonicClock,
    private val source: TokenSource,
    private val fleetSize: () -> Int,
) {
    /** The most tokens that a peer can hold at a time. */
    private class Level(val tokens: Double, val sinceMillis: Long)

    private val levels = HashMap<String, HashMap<String, Level>>()
    private val refusedUntilMillis = HashMap<String, Long>()

    /** Consumes one token for a request at this node, and returns whether there was one. */
    suspend fun tryConsume(organisation: IngressOrganisation, bucket: TokenBucketShare): Boolean {
        val started = clock.millis()
        if (started < (refusedUntilMillis[organisation.name] ?: Long.MIN_VALUE)) return false
        for (node in collectors(organisation.name)) {
            val result =
                if (node == source.ownName) consume(organisation, bucket) else source.consume(node, organisation.name)
            when (result) {
                // A node that was frozen would use the token long after it was consumed.
                PeerConsumption.Consumed -> return clock.millis() - started <= MAXIMUM_RESPONSE_MILLIS

                is PeerConsumption.Refused -> {
                    refusedUntilMillis[organisation.name] = clock.millis() + result.waitMillis
                    return false
                }

                PeerConsumption.Unanswered -> continue
            }
        }
        return false
    }

    /** Consumes one token for a request at this node or another one, from this node's share or loans of others. */
    suspend fun consume(organisation: IngressOrganisation, bucket: TokenBucketShare): PeerConsumption {
        repeat(MAXIMUM_ROUNDS) {
            if (bucket.tryConsume(clock.millis())) return PeerConsumption.Consumed
            if (!collect(organisation, bucket)) {
                val waitMillis = millisUntilToken(organisation, bucket)
                if (waitMillis > MAXIMUM_WAIT_MILLIS) return PeerConsumption.Refused(waitMillis)
                delay(waitMillis + 1)
            }
        }
        if (bucket.tryConsume(clock.millis())) return PeerConsumption.Consumed
        return PeerConsumption.Refused(millisUntilToken(organisation, bucket))
    }

    private fun collectors(organisation: String): List<String> = (source.peers + source.ownName)
        .filterNot { source.isSuspect(it) }
        .sortedWith(compareBy({ RendezvousHash.of(it, organisation) }, { it }))
        .take(MAXIMUM_COLLECTORS)

    // Returns false without sending a message if the peers can't hold enough for one token.
    private suspend fun collect(organisation: IngressOrganisation, bucket: TokenBucketShare): Boolean {
        val now = clock.millis()
        val own = bucket.tokens(now)
        val expected = expectedTokens(organisation)
        val total = own + expected.sumOf { it.second }
        if (total < 1.0) return false
        // Leaves as many tokens at this node as at the others, so that no node is full long before another one.
        val wanted = 1.0 - own + (total - 1.0) / (expected.size + 1) + SURPLUS_SECONDS * organisation.ratePerSecond
        val known = levels.getOrPut(organisation.name) { HashMap() }
        coroutineScope {
            parts(expected, wanted).map { (peer, part) ->
                known[peer] = Level(expected.first { it.first == peer }.second - part, now)
                async {
                    val loan = source.borrow(peer, organisation.name, part, room = 0.0)
                    if (loan == null || loan.amount < part) known[peer] = Level(0.0, now)
                    loan
                }
            }.awaitAll()
        }.filterNotNull().forEach { bucket.deposit(it, now, clock.millis()) }
        return true
    }

    // Equal parts from many peers let all of them refill.
    private fun parts(expected: List<Pair<String, Double>>, wanted: Double): List<Pair<String, Double>> {
        val lenders = minOf(MAXIMUM_LENDERS, expected.size, maxOf(1, (wanted / MINIMUM_PART).toInt()))
        var remaining = wanted
        return expected.mapNotNull { (peer, tokens) ->
            val part = minOf(tokens, wanted / lenders, remaining)
            remaining -= part
            if (part > 0) peer to part else null
        }.take(MAXIMUM_LENDERS)
    }

    private fun expectedTokens(organisation: IngressOrganisation): List<Pair<String, Double>> {
        val known = levels[organisation.name].orEmpty()
        val now = clock.millis()
        val share = TokenBucketShare.capacity(organisation.burst, fleetSize())
        val refillPerMilli = organisation.ratePerSecond / MILLIS_PER_SECOND / fleetSize()
        return source.peers.filterNot { source.isSuspect(it) }
            .map { peer ->
                val level = known[peer]
                val refilled = level?.let { it.tokens + (now - it.sinceMillis) * refillPerMilli } ?: share
                peer to minOf(share, refilled)
            }
            .sortedByDescending { it.second }
    }

    private fun millisUntilToken(organisation: IngressOrganisation, bucket: TokenBucketShare): Long {
        val total = bucket.tokens(clock.millis()) + expectedTokens(organisation).sumOf { it.second }
        return (maxOf(0.0, 1.0 - total) / organisation.ratePerSecond * MILLIS_PER_SECOND).toLong()
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0

        // Each of them may take as long as it waits for its peers, and a request waits for 60 ms.
        const val MAXIMUM_COLLECTORS = 2
        const val MAXIMUM_ROUNDS = 4

        // A shortage of this time is no more than the delay of messages.
        const val MAXIMUM_WAIT_MILLIS = 20L

        // The loans begin to return while the messages are on their way, at most at the rate of all nodes.
        const val SURPLUS_SECONDS = 0.01

        // Smaller loans cost more messages than the even refill is worth.
        const val MINIMUM_PART = 0.02

        // About a third of a fleet of 91 nodes, so that three rounds reach all of them.
        const val MAXIMUM_LENDERS = 32

        // The time for which a request waits for other nodes.
        const val MAXIMUM_RESPONSE_MILLIS = 60L
    }
}
