package org.poplarshift.serving.ratelimit

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeLessThan
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.poplarshift.core.ingress.CallerLimits
import org.poplarshift.core.ingress.IngressConfiguration
import org.poplarshift.core.ingress.IngressOrganisation
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.serving.fixture.TestTasks
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration.Companion.minutes

/**
 * Guards against loans whose room returns too late or too early, so that an organisation is refused although one bucket for
 * all nodes would admit it.
 */
@OptIn(ExperimentalCoroutinesApi::class)
class RateLimiterRefusalTest :
    FunSpec({
        data class Case(val nodes: Int, val rate: Double, val burst: Double, val use: Double)

        listOf(
            Case(11, 2.0, 2.0, 0.5),
            Case(11, 2.0, 4.0, 0.5),
            Case(11, 5.0, 5.0, 0.5),
            Case(11, 5.0, 10.0, 0.5),
            Case(11, 5.0, 10.0, 0.9),
            Case(11, 50.0, 50.0, 0.5),
            Case(11, 50.0, 50.0, 0.9),
            Case(11, 50.0, 100.0, 0.9),
            Case(91, 5.0, 10.0, 0.5),
            Case(91, 50.0, 50.0, 0.9),
        ).forEach { case ->
            listOf("one node" to 1, "all nodes" to case.nodes).forEach { (name, usedNodes) ->
                test("nodes refuse below 0.1% of the requests inside the limit, $case, requests at $name") {
                    val counts = (1L..SEEDS).map { seed ->
                        Counts().also { result ->
                            runTest(timeout = 2.minutes) {
                                val organisation = IngressOrganisation("org", setOf("key"), null, case.rate, case.burst)
                                Fleet(this, organisation, Random(seed), case.nodes).run(case.use, usedNodes, result)
                            }
                        }
                    }
                    val refusedShare = counts.sumOf { it.refusedInside }.toDouble() / counts.sumOf { it.requests }
                    refusedShare shouldBeLessThan 0.001
                }
            }
        }
    }) {
    private class Counts(var requests: Int = 0, var refusedInside: Int = 0)

    private class Fleet(
        private val scope: TestScope,
        private val organisation: IngressOrganisation,
        private val random: Random,
        private val nodes: Int,
    ) {
        private val clock = MonotonicClock { scope.testScheduler.currentTime }
        private val limiters: List<RateLimiter> = List(nodes) { own ->
            val source = FakeTokenSource(own, ONE_WAY_MILLIS) { limiters }
            RateLimiter(TestTasks.of(scope.backgroundScope), clock, source) { nodes }
        }

        // One bucket for all nodes, from which the admitted requests are taken.
        private var tokens = organisation.burst
        private var refilledMillis = 0L

        suspend fun run(use: Double, usedNodes: Int, counts: Counts) {
            val configuration =
                IngressConfiguration(1, emptyList(), emptyMap(), CallerLimits(1, 1, 1, 1), listOf(organisation))
            limiters.forEach { it.update(configuration) }
            delay(WARM_UP_MILLIS)
            var nextMillis = clock.millis().toDouble()
            while (nextMillis < WARM_UP_MILLIS + DURATION_MILLIS) {
                nextMillis -= ln(1 - random.nextDouble()) * MILLIS_PER_SECOND / (organisation.ratePerSecond * use)
                delay((nextMillis.toLong() - clock.millis()).coerceAtLeast(0))
                val node = random.nextInt(usedNodes)
                scope.launch { count(limiters[node].acquire(organisation), counts) }
            }
        }

        private fun count(result: RateLimitResult, counts: Counts) {
            val now = clock.millis()
            val refilled = (now - refilledMillis) * organisation.ratePerSecond / MILLIS_PER_SECOND
            tokens = minOf(organisation.burst, tokens + refilled)
            refilledMillis = now
            counts.requests++
            if (result == RateLimitResult.Allowed) {
                tokens -= 1.0
            } else if (tokens >= 1.0) {
                counts.refusedInside++
            }
        }
    }

    private companion object {
        const val SEEDS = 5L
        const val ONE_WAY_MILLIS = 2L
        const val WARM_UP_MILLIS = 20_000L
        const val DURATION_MILLIS = 600_000L
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
