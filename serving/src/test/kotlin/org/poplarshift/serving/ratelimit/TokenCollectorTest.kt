package org.poplarshift.serving.ratelimit

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeInRange
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import org.poplarshift.core.ingress.CallerLimits
import org.poplarshift.core.ingress.IngressConfiguration
import org.poplarshift.core.ingress.IngressOrganisation
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.serving.fixture.TestTasks

/**
 * Guards against a node that admits requests with a share of less than one token, and against refusals because the node that
 * collects the tokens of an organisation can't be reached.
 */
@OptIn(ExperimentalCoroutinesApi::class)
class TokenCollectorTest :
    FunSpec({
        val nodes = 11
        val everyNode = (0 until nodes).toList()

        data class Case(val name: String, val groups: List<List<Int>>, val admitted: IntRange)
        listOf(
            Case("all nodes reach each other", listOf(everyNode), 9..10),
            // Shares of 5 and 6 elevenths of ten tokens.
            Case("nodes are in two groups that do not reach each other", everyNode.chunked(6), 7..9),
            Case("no node reaches another one", everyNode.map { listOf(it) }, 0..0),
        ).forEach { case ->
            listOf(false, true).forEach { isKnown ->
                test("nodes together admit only the tokens of those in touch: ${case.name}, known at once: $isKnown") {
                    runTest {
                        val organisation = IngressOrganisation("org", setOf("key"), null, RATE, BURST)
                        val clock = MonotonicClock { testScheduler.currentTime }
                        lateinit var limiters: List<RateLimiter>
                        limiters = everyNode.map { own ->
                            val others = everyNode - case.groups.first { own in it }.toSet()
                            val unreachable = others.map { it.toString() }.toSet()
                            val source = FakeTokenSource(own, unreachable = unreachable, isKnown = isKnown) { limiters }
                            RateLimiter(TestTasks.of(backgroundScope), clock, source) { nodes }
                        }
                        val limits = CallerLimits(1, 1, 1, 1)
                        val configuration =
                            IngressConfiguration(1, emptyList(), emptyMap(), limits, listOf(organisation))
                        limiters.forEach { it.update(configuration) }
                        delay(WARM_UP_MILLIS)
                        val admitted = List(REQUESTS) { limiters[it % nodes].acquire(organisation) }
                            .count { it == RateLimitResult.Allowed }
                        admitted shouldBeInRange case.admitted
                    }
                }
            }
        }
    }) {
    private companion object {
        // So low that no token is refilled while the requests are sent.
        const val RATE = 0.01
        const val BURST = 10.0
        const val REQUESTS = 110
        const val WARM_UP_MILLIS = 2_000_000L
    }
}
