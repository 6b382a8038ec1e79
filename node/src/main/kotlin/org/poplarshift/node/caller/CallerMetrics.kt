package org.poplarshift.node.caller

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import org.poplarshift.core.retry.RetryStopReason
import org.poplarshift.core.verdict.RefusalReason
import java.time.Duration

/** Metrics of callers' requests: refusals and retries by reason, latency by request class. */
class CallerMetrics(registry: MeterRegistry) {
    private val refusals = RefusalReason.entries.associateWith { counter(registry, "refusals", it.code) }
    private val retries = RefusalReason.entries.associateWith { counter(registry, "retries", it.code) }
    private val retryStops = RetryStopReason.entries.associateWith { counter(registry, "retry.stops", it.code) }
    private val firstBytes = RequestClass.entries.associateWith { timer(registry, "first.byte", it) }
    private val requestDurations = RequestClass.entries.associateWith { timer(registry, "request.duration", it) }

    /** Counts a request that was refused or failed. */
    fun recordRefusal(reason: RefusalReason) = refusals.getValue(reason).increment()

    /** Counts an attempt that failed for [reason] and was followed by another one. */
    fun recordRetry(reason: RefusalReason) = retries.getValue(reason).increment()

    /** Counts a failed attempt that was not followed by another one. */
    fun recordRetryStop(stop: RetryStopReason) = retryStops.getValue(stop).increment()

    /** Records the time from the arrival of a request to the first byte of its response. */
    fun recordFirstByte(requestClass: RequestClass, millis: Long) =
        firstBytes.getValue(requestClass).record(Duration.ofMillis(millis))

    /** Records the time from the arrival of a request to the end of its response. */
    fun recordCompletion(requestClass: RequestClass, millis: Long) =
        requestDurations.getValue(requestClass).record(Duration.ofMillis(millis))

    /** The number of refusals since the start of the node by reason code, without reasons that have not occurred. */
    fun refusalCounts(): Map<String, Long> = refusals
        .mapKeys { it.key.code }
        .mapValues { it.value.count().toLong() }
        .filterValues { it > 0 }

    private fun counter(registry: MeterRegistry, name: String, reason: String): Counter =
        Counter.builder("poplarshift.$name").tag("reason", reason).register(registry)

    private fun timer(registry: MeterRegistry, name: String, requestClass: RequestClass): Timer = Timer
        .builder("poplarshift.$name")
        .tag("class", requestClass.label)
        .serviceLevelObjectives(*BUCKETS_MILLIS.map { Duration.ofMillis(it) }.toTypedArray())
        .register(registry)

    private companion object {
        // A full percentile histogram has about 70 buckets per timer; these bounds cover the latencies of the design.
        val BUCKETS_MILLIS = listOf(5L, 10, 25, 50, 100, 200, 300, 420, 600, 1_000, 2_500, 5_000, 10_000, 30_000)
    }
}
