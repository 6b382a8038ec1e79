package org.poplarshift.serving.ratelimit

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withTimeoutOrNull
import org.poplarshift.core.allowance.TokenBucketShare
import org.poplarshift.core.allowance.TokenLoan
import org.poplarshift.core.ingress.IngressConfiguration
import org.poplarshift.core.ingress.IngressOrganisation
import org.poplarshift.serving.BackgroundTasks
import org.poplarshift.serving.MonotonicClock

/** Result of checking a request against its organisation's rate limit. */
sealed interface RateLimitResult {
    /** The request is within the limit. */
    data object Allowed : RateLimitResult

    /**
     * The request exceeds the limit, judged by the tokens that this node could obtain.
     *
     * @property retryMillis milliseconds after which the caller may retry
     * @property bucketState tokens, rate and number of nodes behind the decision, for the log
     */
    data class Exceeded(val retryMillis: Long, val bucketState: String) : RateLimitResult
}

/** Enforces this node's share of each organisation's rate limit and requests tokens from peers when it runs out. */
class RateLimiter(
    private val tasks: BackgroundTasks,
    private val clock: MonotonicClock,
    private val source: TokenSource,
    private val fleetSize: () -> Int,
) {
    private val buckets = HashMap<String, TokenBucketShare>()
    private val limits = HashMap<String, IngressOrganisation>()
    private val pendingRequests = HashMap<String, CompletableDeferred<Unit>>()
    private val nextRequestMillis = HashMap<String, Long>()
    private val collector = TokenCollector(clock, source, fleetSize)

    /** Acquires one token of [organisation] and waits briefly for tokens of other nodes if this node has none. */
    suspend fun acquire(organisation: IngressOrganisation): RateLimitResult {
        if (organisation.ratePerSecond <= 0) return RateLimitResult.Allowed
        val bucket = bucket(organisation)
        if (bucket.tryConsume(clock.millis())) {
            if (bucket.tokens(clock.millis()) < LOW_TOKENS) fillRoom(organisation, bucket)
            return RateLimitResult.Allowed
        }
        if (tryConsumeOfPeers(organisation, bucket)) return RateLimitResult.Allowed
        val bucketState = "tokens=%.2f,rate=%.1f,nodes=%d".format(
            bucket.tokens(clock.millis()),
            organisation.ratePerSecond,
            fleetSize(),
        )
        return RateLimitResult.Exceeded(retryMillis(organisation), bucketState)
    }

    /**
     * Lends up to [wanted] tokens to another node that has room for [room] of them, or returns null if this node has none to
     * lend.
     */
    fun lend(organisation: String, wanted: Double, room: Double): TokenLoan? =
        buckets[organisation]?.lend(wanted, room, clock.millis())

    /** Consumes one token for a request of another node. */
    suspend fun consumeForPeer(organisation: String): PeerConsumption {
        val limit = limits[organisation] ?: return PeerConsumption.Refused(RETRY_DELAY_MILLIS)
        return collector.consume(limit, bucket(limit))
    }

    /** Applies the limits of [configuration] and the current number of nodes. */
    fun update(configuration: IngressConfiguration?) {
        if (configuration == null) return
        val now = clock.millis()
        limits.clear()
        for (organisation in configuration.organisations.orEmpty()) {
            if (organisation.ratePerSecond <= 0) continue
            limits[organisation.name] = organisation
            val existing = buckets[organisation.name]
            if (existing == null) {
                buckets[organisation.name] = newBucket(organisation, now)
            } else {
                existing.update(organisation.ratePerSecond, organisation.burst, fleetSize(), now)
            }
        }
        buckets.keys.retainAll(limits.keys)
    }

    private fun bucket(organisation: IngressOrganisation): TokenBucketShare =
        buckets.getOrPut(organisation.name) { newBucket(organisation, clock.millis()) }

    private fun newBucket(organisation: IngressOrganisation, now: Long) =
        TokenBucketShare(organisation.ratePerSecond, organisation.burst, fleetSize(), now)

    private suspend fun tryConsumeOfPeers(organisation: IngressOrganisation, bucket: TokenBucketShare): Boolean {
        if (share(organisation) < 1.0) {
            return withTimeoutOrNull(REQUEST_TIMEOUT_MILLIS) { collector.tryConsume(organisation, bucket) } ?: false
        }
        withTimeoutOrNull(REQUEST_TIMEOUT_MILLIS) { awaitTokens(organisation, bucket) }
        return bucket.tryConsume(clock.millis())
    }

    private fun share(organisation: IngressOrganisation): Double =
        TokenBucketShare.capacity(organisation.burst, fleetSize())

    // Callers that retry at the same time would find the bucket empty again, so the delay is based on the whole rate of
    // the organisation.
    private fun retryMillis(organisation: IngressOrganisation): Long =
        (MILLIS_PER_SECOND * RETRY_TOKENS / organisation.ratePerSecond).toLong()
            .coerceIn(MINIMUM_RETRY_MILLIS, MAXIMUM_RETRY_MILLIS)

    // Tokens above the room would return to their lenders unused if no request needs them soon.
    private fun fillRoom(organisation: IngressOrganisation, bucket: TokenBucketShare) {
        val room = bucket.freeRoom(clock.millis())
        if (room >= MINIMUM_REQUESTED_TOKENS) requestTokens(organisation.name, bucket, room)
    }

    private suspend fun awaitTokens(organisation: IngressOrganisation, bucket: TokenBucketShare) {
        repeat(MAXIMUM_ROUNDS) {
            val request = requestTokens(organisation.name, bucket, share(organisation)) ?: return
            request.await()
            if (bucket.tokens(clock.millis()) >= 1.0) return
        }
    }

    private fun requestTokens(name: String, bucket: TokenBucketShare, wanted: Double): CompletableDeferred<Unit>? {
        pendingRequests[name]?.let { return it }
        if (fleetSize() < 2 || clock.millis() < (nextRequestMillis[name] ?: Long.MIN_VALUE)) return null
        val request = CompletableDeferred<Unit>()
        pendingRequests[name] = request
        tasks.launchOnce("token request", onFailed = { delayNextRequest(name) }) {
            try {
                borrow(name, bucket, wanted)
            } finally {
                pendingRequests.remove(name)
                request.complete(Unit)
            }
        }
        return request
    }

    private fun delayNextRequest(name: String) {
        nextRequestMillis[name] = clock.millis() + RETRY_DELAY_MILLIS
    }

    private suspend fun borrow(name: String, bucket: TokenBucketShare, wanted: Double) {
        // The borrower counts a loan from here, which is before its lender counts it.
        val requestedMillis = clock.millis()
        val room = bucket.freeRoom(requestedMillis)
        val lenders = source.peers.shuffled().take(MAXIMUM_LENDERS)
        val loans = coroutineScope {
            lenders.map { async { source.borrow(it, name, wanted / lenders.size, room / lenders.size) } }.awaitAll()
        }.filterNotNull()
        loans.forEach { bucket.deposit(it, requestedMillis, clock.millis()) }
        if (loans.isEmpty()) delayNextRequest(name)
        logger.debug {
            val received = loans.sumOf { it.amount }
            "allowance: requested $wanted tokens of organisation $name from peers, received $received"
        }
    }

    private companion object {
        val logger = KotlinLogging.logger {}
        const val MILLIS_PER_SECOND = 1_000.0

        // Requests tokens before the bucket is empty, so that few requests wait for another node.
        const val LOW_TOKENS = 1.0

        // Less is not worth the messages as long as no request waits.
        const val MINIMUM_REQUESTED_TOKENS = 1.0

        // A quarter of the wanted tokens from each is refused more rarely than all of them from one.
        const val MAXIMUM_LENDERS = 4
        const val MAXIMUM_ROUNDS = 3

        // The network delay between zones in both directions plus some processing. After it, the request is refused.
        const val REQUEST_TIMEOUT_MILLIS = 60L

        // When the other nodes have no tokens either, further requests only cost messages.
        const val RETRY_DELAY_MILLIS = 150L
        const val RETRY_TOKENS = 3.0
        const val MINIMUM_RETRY_MILLIS = 50L
        const val MAXIMUM_RETRY_MILLIS = 2_000L
    }
}
