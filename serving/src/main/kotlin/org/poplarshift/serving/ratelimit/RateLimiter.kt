package org.poplarshift.serving.ratelimit

import io.github.oshai.kotlinlogging.KotlinLogging
import org.poplarshift.core.allowance.TokenDemand
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
     */
    data class Exceeded(val retryMillis: Long) : RateLimitResult
}

/**
 * Enforces the rate limits of organisations for the requests of all nodes that use the schedulers of this node.
 *
 * This node consumes the tokens of its own share and borrows those of the coordinators of other zones when it runs out.
 *
 * @param random returns numbers from 0 to 1 that spread the retries of refused requests
 */
class RateLimiter(
    private val tasks: BackgroundTasks,
    private val clock: MonotonicClock,
    private val source: TokenSource,
    private val counters: RateLimitCounters,
    private val random: () -> Double = Math::random,
) {
    private val organisations = HashMap<String, OrganisationTokens>()
    private val refusals = HashMap<String, RefusalRate>()
    private var limits = mapOf<String, IngressOrganisation>()

    /** Consumes a token of [organisation] and returns true if there is one at this node. */
    fun tryAcquire(organisation: String): Boolean {
        if (isUnlimited(organisation)) return true
        val isAdmitted = organisations[organisation]?.tryAcquire() == true
        if (isAdmitted) counters.onAdmitted()
        return isAdmitted
    }

    /** Consumes a token of [organisation], and waits briefly for tokens of other coordinators if this node has none. */
    suspend fun acquire(organisation: String): RateLimitResult {
        if (isUnlimited(organisation)) return RateLimitResult.Allowed
        val tokens = organisations[organisation]
        if (tokens?.acquire(REQUEST_TIMEOUT_MILLIS) == true) {
            counters.onAdmitted()
            return RateLimitResult.Allowed
        }
        counters.onRefused()
        return RateLimitResult.Exceeded(onRefused(organisation, tokens))
    }

    /** Returns the token of a request of [organisation] that has not run. */
    fun giveBack(organisation: String) {
        val tokens = organisations[organisation] ?: return
        tokens.giveBack()
        counters.onReturned()
    }

    /** Lends tokens for [demand] and consumes tokens for up to [requests] requests that wait at another coordinator. */
    suspend fun lend(organisation: String, demand: TokenDemand, requests: Int): TokenGrant =
        organisations[organisation]?.lend(demand, requests) ?: TokenGrant(loan = null)

    /** Returns what this node asks each other coordinator for, to keep the levels of their shares equal. */
    fun balanceRequests(): List<BalanceRequest> = organisations.values.mapNotNull { it.balanceRequest() }

    /** Lends tokens to a coordinator that has less of them than this one. */
    fun lendBalance(requests: List<BalanceRequest>): List<BalanceResponse> =
        requests.mapNotNull { organisations[it.organisation]?.lendBalance(it) }

    /** Adds the tokens that [node] has lent for the requests that were made at [requestedMillis]. */
    fun onBalanced(node: String, responses: List<BalanceResponse>, requestedMillis: Long) =
        responses.forEach { organisations[it.organisation]?.onBalanced(node, it, requestedMillis) }

    /** Applies the limits of [configuration] and the current share of this node. */
    fun update(configuration: IngressConfiguration?) {
        if (configuration == null) return
        limits = configuration.organisations.orEmpty().associateBy { it.name }
        val limited = limits.filterValues { it.ratePerSecond > 0 }
        for ((name, organisation) in limited) {
            organisations[name]?.update(organisation) ?: run {
                organisations[name] = OrganisationTokens(organisation, tasks, clock, source, counters)
            }
        }
        organisations.keys.retainAll(limited.keys)
        refusals.keys.retainAll(limited.keys)
    }

    /** Applies the current share of this node. */
    fun updateShares() = organisations.values.forEach { it.update() }

    private fun isUnlimited(organisation: String): Boolean = limits[organisation]?.let { it.ratePerSecond <= 0 } == true

    /** Logs a refusal at most once per second and organisation, and returns the time after which to retry. */
    private fun onRefused(name: String, tokens: OrganisationTokens?): Long {
        val limit = limits[name]
        if (tokens == null || limit == null) {
            logger.warn { "rate limit: organisation $name is not in the configuration of this node yet" }
            return UNKNOWN_RETRY_MILLIS
        }
        val rate = refusals.getOrPut(name) { RefusalRate() }
        val reported = rate.onRefused(clock.millis())
        if (reported > 0) {
            logger.atInfo {
                message = "rate limit: requests are refused"
                payload = mapOf(
                    "organisation" to name,
                    "refused" to reported,
                    "tokens" to "%.2f".format(tokens.tokens),
                    "rate" to limit.ratePerSecond,
                    "share" to "%.3f".format(source.ownShare(limit)),
                )
            }
        }
        // Callers that are refused in the same second compete for the same tokens, so they return one after the other.
        val spreadMillis = rate.perSecond * random() / limit.ratePerSecond * MILLIS_PER_SECOND
        return (tokens.millisUntilToken() + spreadMillis).toLong()
            .coerceIn(MINIMUM_RETRY_MILLIS, MAXIMUM_RETRY_MILLIS)
    }

    private companion object {
        val logger = KotlinLogging.logger {}
        const val MILLIS_PER_SECOND = 1_000.0

        // The network delay between zones in both directions plus some processing. After it, the request is refused.
        const val REQUEST_TIMEOUT_MILLIS = 60L

        // Nodes read a new configuration within this time.
        const val UNKNOWN_RETRY_MILLIS = 500L
        const val MINIMUM_RETRY_MILLIS = 50L
        const val MAXIMUM_RETRY_MILLIS = 2_000L
    }
}
