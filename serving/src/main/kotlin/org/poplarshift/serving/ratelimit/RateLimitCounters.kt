package org.poplarshift.serving.ratelimit

import io.micrometer.core.instrument.MeterRegistry

/** Counts the decisions of this node on tokens, for the requests of all nodes that ask it. */
class RateLimitCounters(registry: MeterRegistry) {
    private val admitted = registry.counter(DECISIONS, "outcome", "admitted")
    private val refused = registry.counter(DECISIONS, "outcome", "refused")
    private val returned = registry.counter(DECISIONS, "outcome", "returned")
    private val borrowed = registry.counter("rate_limit_tokens_borrowed")
    private val messages = registry.counter("rate_limit_token_requests")

    /** Records that a request got a token. */
    fun onAdmitted() = admitted.increment()

    /** Records that a request got no token. */
    fun onRefused() = refused.increment()

    /** Records that the token of a request which did not run was returned. */
    fun onReturned() = returned.increment()

    /** Records a message to another holder that brought [tokens]. */
    fun onBorrowed(tokens: Double) {
        messages.increment()
        borrowed.increment(tokens)
    }

    private companion object {
        const val DECISIONS = "rate_limit_decisions"
    }
}
