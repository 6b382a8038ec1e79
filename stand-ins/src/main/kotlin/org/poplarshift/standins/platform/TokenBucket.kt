package org.poplarshift.standins.platform

/** A token bucket. Times are monotonic milliseconds. */
internal class TokenBucket {
    private var tokens = Double.MAX_VALUE
    private var updatedMillis = 0L

    /** Refills the bucket at the given rate up to [capacity]; returns whether a token was available and removes it. */
    fun tryAcquire(tokensPerMilli: Double, capacity: Double, nowMillis: Long): Boolean {
        val refill = (nowMillis - updatedMillis) * tokensPerMilli
        tokens = minOf(capacity, tokens + refill)
        updatedMillis = nowMillis
        if (tokens < 1) return false
        tokens -= 1
        return true
    }
}
