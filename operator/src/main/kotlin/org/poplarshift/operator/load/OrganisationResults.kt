package org.poplarshift.operator.load

import org.HdrHistogram.Histogram
import org.HdrHistogram.SynchronizedHistogram

/** Collects the results of one organisation. Safe for use from several threads. Times are nanoseconds. */
class OrganisationResults(private val organisation: String) {
    private val firstToken = histogram()
    private val total = histogram()
    private val betweenTokens = histogram()
    private val failures = mutableMapOf<String, Long>()
    private var sent = 0L
    private var completed = 0L

    /** A request was sent. */
    @Synchronized
    fun recordSent() {
        sent++
    }

    /** A complete response came; times count from the scheduled send time. */
    @Synchronized
    fun recordSuccess(firstTokenNanos: Long, totalNanos: Long) {
        completed++
        firstToken.recordValue(firstTokenNanos.coerceIn(1, HIGHEST_TRACKABLE_NANOS))
        total.recordValue(totalNanos.coerceIn(1, HIGHEST_TRACKABLE_NANOS))
    }

    /** Two parts of a stream came [nanos] apart. */
    fun recordChunkGap(nanos: Long) = betweenTokens.recordValue(nanos.coerceIn(1, HIGHEST_TRACKABLE_NANOS))

    /** A request was refused or failed with [code]. */
    @Synchronized
    fun recordFailure(code: String) {
        failures.merge(code, 1, Long::plus)
    }

    /** Requests sent and complete responses so far. */
    @Synchronized
    fun progress(): LoadProgress = LoadProgress(sent, completed, failures.values.sum())

    /** The report of a run of [seconds]. */
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

/** Counts of a run so far. */
data class LoadProgress(val sent: Long, val completed: Long, val failed: Long)
