package org.poplarshift.serving.ratelimit

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import org.poplarshift.core.ingress.CallerLimits
import org.poplarshift.core.ingress.IngressConfiguration
import org.poplarshift.core.ingress.IngressOrganisation
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.serving.fixture.TestTasks

/**
 * Guards against refusing an organisation within its rate when its callers all use one node, as behind a load balancer
 * that hashes callers, and against nodes that together admit more than the sum of their shares.
 */
class RateLimiterTest :
    FunSpec({
        val organisation = IngressOrganisation("org", setOf("key"), priority = null, ratePerSecond = 20.0, burst = 20.0)

        class Fleet(scope: CoroutineScope, nodes: Int) {
            var now = 0L
            val limiters: List<RateLimiter> = List(nodes) { own ->
                RateLimiter(TestTasks.of(scope), MonotonicClock { now }, FakeTokenSource(own) { limiters }) { nodes }
            }

            suspend fun admitted(node: Int, requests: Int): Int {
                var admitted = 0
                repeat(requests) {
                    if (limiters[node].acquire(organisation) == RateLimitResult.Allowed) admitted++
                    delay(1)
                }
                return admitted
            }
        }

        test("a busy node gets the tokens of the other nodes, and all nodes together admit no more than the burst") {
            coroutineScope {
                val fleet = Fleet(this, nodes = 4)
                fleet.limiters.forEach { it.acquire(organisation) }
                fleet.now = 10_000
                val admitted = fleet.admitted(node = 0, requests = 40)
                (admitted in 12..20) shouldBe true
            }
        }

        test("a request for which no node has a token is refused at once with a retry delay") {
            coroutineScope {
                val fleet = Fleet(this, nodes = 2)
                fleet.admitted(node = 0, requests = 30)
                fleet.limiters[0].acquire(
                    organisation,
                ).shouldBeInstanceOf<RateLimitResult.Exceeded>().retryMillis shouldBe
                    150
            }
        }

        test("a request whose token request fails is refused, and tokens are requested again after a delay") {
            coroutineScope {
                var now = 0L
                var requests = 0
                val source = object : TokenSource by FakeTokenSource(own = 0, limiters = { emptyList() }) {
                    override val peers = listOf("1")

                    override suspend fun borrow(peer: String, organisation: String, wanted: Double, room: Double) =
                        error("planned ${requests++}")
                }
                val limiter = RateLimiter(TestTasks.of(this), MonotonicClock { now }, source) { 10 }
                limiter.acquire(organisation) shouldBe RateLimitResult.Allowed
                repeat(2) { limiter.acquire(organisation).shouldBeInstanceOf<RateLimitResult.Exceeded>() }
                requests shouldBe 1
                now = 200
                limiter.acquire(organisation)
                requests shouldBe 2
            }
        }

        test(
            "an organisation with a rate and no burst is admitted at its rate by nodes whose share is below one token",
        ) {
            coroutineScope {
                val fleet = Fleet(this, nodes = 4)
                val withoutBurst = organisation.copy(burst = 0.0)
                fleet.limiters.forEach { it.update(configuration(withoutBurst)) }
                fleet.now = 10_000
                val results = List(2) { fleet.limiters[it].acquire(withoutBurst) }
                results.count { it == RateLimitResult.Allowed } shouldBe 1
            }
        }

        test("an organisation without a rate has no limit") {
            coroutineScope {
                val free = organisation.copy(ratePerSecond = 0.0)
                Fleet(this, nodes = 2).limiters[0].acquire(free) shouldBe RateLimitResult.Allowed
            }
        }
    }) {
    private companion object {
        fun configuration(organisation: IngressOrganisation) =
            IngressConfiguration(1, emptyList(), emptyMap(), CallerLimits(1, 1, 1, 1), listOf(organisation))
    }
}
