package org.poplarshift.serving.allowance

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.poplarshift.core.allowance.TokenBucketShare
import org.poplarshift.core.ingress.IngressConfiguration
import org.poplarshift.core.ingress.IngressOrganisation
import org.poplarshift.serving.MonotonicClock

/** Whether a request is within its organisation's rate. */
sealed interface AllowanceResult {
    /** It is. */
    data object Within : AllowanceResult

    /**
     * It is not, as far as this node can know.
     *
     * @property inputs what decided, for the log
     */
    data class Exceeded(val retryMillis: Long, val inputs: String) : AllowanceResult
}

/** Asks other nodes for tokens. */
fun interface TokenSource {
    /** Tokens of [organisation] that another node has given away, at most [wanted]. */
    suspend fun ask(organisation: String, wanted: Double): Double
}

/** Holds this node's share of each organisation's rate and asks other nodes for theirs when it runs out. */
class AllowanceGate(
    private val scope: CoroutineScope,
    private val clock: MonotonicClock,
    private val source: TokenSource,
    private val fleetSize: () -> Int,
) {
    private val buckets = HashMap<String, TokenBucketShare>()
    private val limits = HashMap<String, IngressOrganisation>()
    private val asking = HashMap<String, CompletableDeferred<Unit>>()
    private val askAgainMillis = HashMap<String, Long>()

    /** Spends one token of [organisation]. */
    suspend fun spend(organisation: IngressOrganisation): AllowanceResult {
        if (organisation.ratePerSecond <= 0) return AllowanceResult.Within
        val bucket = bucket(organisation)
        if (bucket.tryConsume(clock.millis())) {
            if (bucket.tokens(clock.millis()) < LOW_TOKENS) ask(organisation.name, bucket, organisation)
            return AllowanceResult.Within
        }
        val answer = ask(organisation.name, bucket, organisation)
        if (answer != null) {
            withTimeoutOrNull(ASK_MILLIS) { answer.await() }
            if (bucket.tryConsume(clock.millis())) return AllowanceResult.Within
        }
        val inputs = "tokens=%.2f,rate=%.1f,nodes=%d".format(
            bucket.tokens(clock.millis()),
            organisation.ratePerSecond,
            fleetSize(),
        )
        return AllowanceResult.Exceeded(retryMillis(organisation), inputs)
    }

    /** Takes tokens out for another node that asks for [wanted]. */
    fun give(organisation: String, wanted: Double): Double =
        buckets[organisation]?.withdraw(wanted, clock.millis()) ?: 0.0

    /** Takes the limits of [configuration] and the number of nodes over. */
    fun update(configuration: IngressConfiguration?) {
        if (configuration == null) return
        val now = clock.millis()
        limits.clear()
        for (organisation in configuration.organisations) {
            if (organisation.ratePerSecond <= 0) continue
            limits[organisation.name] = organisation
            val known = buckets[organisation.name]
            if (known == null) {
                buckets[organisation.name] = bucketOf(organisation, now)
            } else {
                known.update(organisation.ratePerSecond, organisation.burst, fleetSize(), now)
            }
        }
        buckets.keys.retainAll(limits.keys)
    }

    private fun bucket(organisation: IngressOrganisation): TokenBucketShare =
        buckets.getOrPut(organisation.name) { bucketOf(organisation, clock.millis()) }

    private fun bucketOf(organisation: IngressOrganisation, now: Long) =
        TokenBucketShare(organisation.ratePerSecond, organisation.burst, fleetSize(), now)

    // Callers that come back together would meet an empty bucket again, so the time is that of the whole limit.
    private fun retryMillis(organisation: IngressOrganisation): Long =
        (MILLIS_PER_SECOND * RETRY_TOKENS / organisation.ratePerSecond).toLong().coerceIn(SHORTEST_RETRY, LONGEST_RETRY)

    private fun ask(
        name: String,
        bucket: TokenBucketShare,
        organisation: IngressOrganisation,
    ): CompletableDeferred<Unit>? {
        asking[name]?.let { return it }
        if (fleetSize() < 2 || clock.millis() < (askAgainMillis[name] ?: Long.MIN_VALUE)) return null
        val answer = CompletableDeferred<Unit>()
        asking[name] = answer
        val wanted = maxOf(SMALLEST_QUESTION, organisation.burst / fleetSize())
        scope.launch {
            try {
                val given = source.ask(name, wanted)
                bucket.deposit(given, clock.millis())
                if (given <= 0) askAgainMillis[name] = clock.millis() + REFUSED_MILLIS
                logger.debug { "allowance: asked for $wanted tokens of $name, got $given" }
            } finally {
                asking.remove(name)
                answer.complete(Unit)
            }
        }
        return answer
    }

    private companion object {
        val logger = KotlinLogging.logger {}
        const val MILLIS_PER_SECOND = 1_000.0

        // Asks ahead of need, so that few requests wait for another node.
        const val LOW_TOKENS = 1.0

        // Enough for the next requests when the share of a node is less than that.
        const val SMALLEST_QUESTION = 4.0

        // Two trips between zones and some processing; the request is refused when it takes longer.
        const val ASK_MILLIS = 60L

        // When the others have nothing either, more questions only cost messages.
        const val REFUSED_MILLIS = 150L
        const val RETRY_TOKENS = 3.0
        const val SHORTEST_RETRY = 50L
        const val LONGEST_RETRY = 2_000L
    }
}
