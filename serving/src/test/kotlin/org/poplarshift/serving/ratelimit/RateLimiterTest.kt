package org.poplarshift.serving.ratelimit

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.poplarshift.core.allowance.TokenDemand
import org.poplarshift.core.ingress.CallerLimits
import org.poplarshift.core.ingress.IngressConfiguration
import org.poplarshift.core.ingress.IngressOrganisation
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.serving.fixture.TestTasks

/**
 * Guards against refusing an organisation within its rate when its callers all use one zone, and against coordinators that
 * together admit more than the sum of their shares.
 */
@OptIn(ExperimentalCoroutinesApi::class)
class RateLimiterTest :
    FunSpec({
        val organisation = IngressOrganisation("org", setOf("key"), priority = null, ratePerSecond = 20.0, burst = 20.0)

        fun limiter(scope: TestScope, source: TokenSource, limit: IngressOrganisation = organisation): RateLimiter {
            val clock = MonotonicClock { scope.testScheduler.currentTime }
            val counters = RateLimitCounters(SimpleMeterRegistry())
            return RateLimiter(TestTasks.of(scope.backgroundScope), clock, source, counters) { 0.5 }
                .apply { update(configuration(limit)) }
        }

        class Fleet(scope: TestScope, zones: Int, limit: IngressOrganisation = organisation) {
            val sources = FakeTokenSources(zones)
            val limiters = sources.limiters

            init {
                repeat(zones) { limiters += limiter(scope, sources.of(it), limit) }
            }

            suspend fun admitted(zone: Int, requests: Int): Int =
                (1..requests).count { limiters[zone].acquire("org") == RateLimitResult.Allowed }
        }

        data class Case(
            val name: String,
            val zones: Int,
            val burst: Double,
            val cutOff: Set<Int>,
            val admitted: IntRange,
        )
        // All buckets are full, and the rate is so low that no token is refilled while the requests are sent.
        listOf(
            Case("one zone gets the tokens of the others", 4, 20.0, emptySet(), 19..20),
            Case("a zone that is cut off uses its own share", 4, 20.0, setOf(0), 5..5),
            Case("the other zones use their shares without it", 4, 20.0, setOf(1), 15..15),
            Case("a small organisation has its tokens in one zone", 4, 2.0, emptySet(), 2..2),
        ).forEach { case ->
            test(case.name) {
                runTest {
                    val fleet = Fleet(this, case.zones, organisation.copy(ratePerSecond = 0.01, burst = case.burst))
                    delay(WARM_UP_MILLIS)
                    fleet.sources.unreachable += case.cutOff
                    fleet.admitted(zone = 0, requests = 60) shouldBeInRange case.admitted
                }
            }
        }

        test("requests that arrive at the same time in all zones get each token once") {
            runTest {
                val fleet = Fleet(this, zones = 4, organisation.copy(ratePerSecond = 0.01))
                delay(WARM_UP_MILLIS)
                var admitted = 0
                repeat(60) { number ->
                    launch { if (fleet.limiters[number % 4].acquire("org") == RateLimitResult.Allowed) admitted++ }
                }
                delay(1_000)
                admitted shouldBeInRange 18..20
            }
        }

        test("the token of a request that did not run serves another one") {
            runTest {
                val fleet = Fleet(this, zones = 1, organisation.copy(ratePerSecond = 0.01, burst = 1.0))
                delay(WARM_UP_MILLIS)
                fleet.limiters[0].tryAcquire("org") shouldBe true
                fleet.limiters[0].tryAcquire("org") shouldBe false
                fleet.limiters[0].giveBack("org")
                fleet.limiters[0].tryAcquire("org") shouldBe true
            }
        }

        test("a refused request is told to return when its token is likely, behind those refused before it") {
            runTest {
                val fleet = Fleet(this, zones = 1)
                val retries = List(40) { fleet.limiters[0].acquire("org") }.filterIsInstance<RateLimitResult.Exceeded>()
                retries.first().retryMillis shouldBeInRange 50L..75L
                // With 20 tokens a second, half of some 20 refusals is half a second.
                retries.last().retryMillis shouldBeInRange 500L..1_000L
            }
        }

        test("a request whose token request fails is refused, and later ones wait for their own node's refill") {
            runTest {
                val source = object : TokenSource by FakeTokenSources(2).of(0) {
                    override suspend fun borrow(
                        node: String,
                        organisation: String,
                        demand: TokenDemand,
                        requests: Int,
                    ) = error("planned")
                }
                val limiter = limiter(this, source)
                repeat(8) { limiter.acquire("org") }
                limiter.acquire("org").shouldBeInstanceOf<RateLimitResult.Exceeded>()
                delay(1_000)
                limiter.acquire("org") shouldBe RateLimitResult.Allowed
            }
        }

        test("an organisation without a rate has no limit, and one that is not known is refused") {
            runTest {
                val limiter = limiter(this, FakeTokenSources(1).of(0), organisation.copy(ratePerSecond = 0.0))
                limiter.tryAcquire("org") shouldBe true
                limiter.acquire("unknown").shouldBeInstanceOf<RateLimitResult.Exceeded>()
            }
        }
    }) {
    private companion object {
        const val WARM_UP_MILLIS = 3_000_000L

        fun configuration(organisation: IngressOrganisation) =
            IngressConfiguration(1, emptyList(), emptyMap(), CallerLimits(1, 1, 1, 1), listOf(organisation))
    }
}
