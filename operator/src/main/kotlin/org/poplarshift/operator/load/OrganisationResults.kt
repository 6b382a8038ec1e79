package org.poplarshift.operator.load

import org.HdrHistogram.Histogram
import org.HdrHistogram.SynchronizedHistogram

/** Accumulates the results of one organisation. Thread-safe. Times are in nanoseconds. */
class OrganisationResults(private val organisation: String) {
    private val firstToken = histogram()
    private val total = histogram()
    private val betweenTokens = histogram()
    private val failures = mutableMapOf<String, Long>()
    private var sent = 0L
    private var completed = 0L

    /** Counts a request as sent. */
    @Synchronized
    fun recordSent() {
        sent++
    }

    /** Records a complete response; times are measured from the scheduled send time. */
    @Synchronized
    fun recordSuccess(firstTokenNanos: Long, totalNanos: Long) {
        completed++
        firstToken.recordValue(firstTokenNanos.coerceIn(1, HIGHEST_TRACKABLE_NANOS))
        total.recordValue(totalNanos.coerceIn(1, HIGHEST_TRACKABLE_NANOS))
    }

    /** Records the time between two consecutive chunks of a stream. */
    fun recordChunkGap(nanos: Long) = betweenTokens.recordValue(nanos.coerceIn(1, HIGHEST_TRACKABLE_NANOS))

    /** Counts a request that was refused or failed with the error code [code]. */
    @Synchronized
    fun recordFailure(code: String) {
        failures.merge(code, 1, Long::plus)
    }

    /** Returns the request counts so far. */
    @Synchronized
    fun progress(): LoadProgress = LoadProgress(sent, completed, failures.values.sum())

    /** Returns the report of a run that took [seconds]. */
    @Synchronized
    fun report(seconds: Double) = OrganisationReport(
        organisation = organisation,
        sent = sent,
        completed = completed,
        completedPerSecond = completed / seconds,
        failures = failures.toSortedMap(),
        firstTokenMillis = quantiles(firstToken),
        totalMillis = quantiles(total),
        betweenTokensMillis = quantiles(betweenTokens),
    )

    private fun quantiles(histogram: Histogram) = Quantiles(
        p50 = histogram.getValueAtPercentile(50.0) / NANOS_PER_MILLI,
        p95 = histogram.getValueAtPercentile(95.0) / NANOS_PER_MILLI,
        p99 = histogram.getValueAtPercentile(99.0) / NANOS_PER_MILLI,
        maximum = histogram.maxValue / NANOS_PER_MILLI,
    )

    private fun histogram(): Histogram = SynchronizedHistogram(HIGHEST_TRACKABLE_NANOS, SIGNIFICANT_DIGITS)

    private companion object {
        const val HIGHEST_TRACKABLE_NANOS = 600_000_000_000L
        const val SIGNIFICANT_DIGITS = 3
        const val NANOS_PER_MILLI = 1e6
    }
}

/** Request counts of a run in progress. */
data class LoadProgress(val sent: Long, val completed: Long, val failed: Long)
