package org.poplarshift.node.quota

import org.poplarshift.core.catalogue.Organisation
import org.poplarshift.core.verdict.RefusalReason
import org.poplarshift.serving.MonotonicClock
import kotlin.math.ceil

/**
 * Enforces each organisation's rate and burst with a token bucket at this VM alone. This is the baseline mode `local`:
 * a fleet of n VMs admits up to n times the rate.
 */
class LocalQuotaGate(private val clock: MonotonicClock) : QuotaGate {
    private val buckets = HashMap<String, Bucket>()

    override suspend fun admit(organisation: Organisation): QuotaDecision {
        val now = clock.millis()
        val bucket = buckets.getOrPut(organisation.id) { Bucket(organisation.burst, now) }
        val refill = (now - bucket.filledMillis) / MILLIS_PER_SECOND * organisation.ratePerSecond
        bucket.tokens = minOf(organisation.burst, bucket.tokens + refill)
        bucket.filledMillis = now
        if (bucket.tokens >= 1) {
            bucket.tokens -= 1
            return QuotaDecision.Admitted
        }
        val waitMillis = ceil((1 - bucket.tokens) / organisation.ratePerSecond * MILLIS_PER_SECOND).toLong()
        return QuotaDecision.Refused(RefusalReason.RATE_EXCEEDED, waitMillis)
    }

    private class Bucket(var tokens: Double, var filledMillis: Long)

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
