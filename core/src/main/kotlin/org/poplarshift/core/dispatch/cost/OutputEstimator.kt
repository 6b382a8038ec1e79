package org.poplarshift.core.dispatch.cost

import org.poplarshift.core.dispatch.RequestSize
import kotlin.math.exp
import kotlin.math.ln

/**
 * Estimates how many steps the requests of one route need, from earlier runs and from the hints of callers.
 *
 * Hints and the mean of the route count in proportion to how exact they have been: a route whose hints are useless
 * soon uses its mean, and one whose hints are all too high by the same factor corrects them.
 */
internal class OutputEstimator {
    private val mean = FadingMean(MAXIMUM_DEVIATION)
    private val meanError = FadingMean(MAXIMUM_ERROR)
    private val hintBias = FadingMean(MAXIMUM_DEVIATION)
    private val hintError = FadingMean(MAXIMUM_ERROR)

    /** Returns the expected number of steps of a request of [size], or of one whose size is not known. */
    fun estimate(size: RequestSize?, nowMillis: Long): Double {
        val byMean = mean.value(DEFAULT_LOG, nowMillis)
        val hinted = hintLog(size)?.let { it + hintBias.value(0.0, nowMillis) }
        val estimated = if (hinted == null) {
            byMean
        } else {
            val meanPrecision = 1.0 / (meanError.value(MEAN_ERROR, nowMillis) + MINIMUM_ERROR)
            val hintPrecision = 1.0 / (hintError.value(HINT_ERROR, nowMillis) + MINIMUM_ERROR)
            (byMean * meanPrecision + hinted * hintPrecision) / (meanPrecision + hintPrecision)
        }
        val maximum = size?.maximumOutputTokens?.takeIf { it > 0 } ?: Int.MAX_VALUE
        return exp(estimated).coerceIn(1.0, maximum.toDouble())
    }

    /** Learns that a request of [size] needed [steps]. */
    fun learn(size: RequestSize?, steps: Double, nowMillis: Long) {
        val actual = ln(steps.coerceIn(1.0, MAXIMUM_STEPS))
        hintLog(size)?.let { learn(actual - it, hintBias, hintError, HINT_ERROR, nowMillis) }
        learn(actual, mean, meanError, MEAN_ERROR, nowMillis, DEFAULT_LOG)
    }

    private fun learn(
        sample: Double,
        mean: FadingMean,
        error: FadingMean,
        errorPrior: Double,
        nowMillis: Long,
        prior: Double = 0.0,
    ) {
        // The first sample shows how far the prior was off, not how exact the estimates will be.
        if (mean.weightAt(nowMillis) >= 1.0) {
            val deviation = sample - mean.value(prior, nowMillis)
            error.add(deviation * deviation, errorPrior, nowMillis)
        }
        mean.add(sample, prior, nowMillis)
    }

    private fun hintLog(size: RequestSize?): Double? = size?.expectedOutputTokens?.takeIf {
        it > 0
    }?.let { ln(it.toDouble()) }

    private companion object {
        // Usual length of an online response.
        val DEFAULT_LOG = ln(200.0)
        const val MAXIMUM_STEPS = 1_000_000.0

        // Logarithms of factors: a sample changes a mean as if it were at most seven times the expected value.
        const val MAXIMUM_DEVIATION = 2.0
        const val MAXIMUM_ERROR = 4.0

        // Squared errors assumed without samples: a hint is right within about half, a mean within about a factor of two.
        const val HINT_ERROR = 0.2
        const val MEAN_ERROR = 0.5

        // An error of 5% is not told apart from none.
        const val MINIMUM_ERROR = 0.0025
    }
}
