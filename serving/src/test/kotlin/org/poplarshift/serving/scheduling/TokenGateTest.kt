package org.poplarshift.serving.scheduling

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.poplarshift.core.dispatch.FleetWorker
import org.poplarshift.core.dispatch.LoadBalancer
import org.poplarshift.core.dispatch.NodeMessage
import org.poplarshift.core.dispatch.SchedulerMessage
import org.poplarshift.core.dispatch.SlotOutcome
import org.poplarshift.core.dispatch.SlotScheduler
import org.poplarshift.core.dispatch.SlotUse
import org.poplarshift.core.dispatch.ZoneCapacities
import org.poplarshift.core.ingress.CallerLimits
import org.poplarshift.core.ingress.IngressConfiguration
import org.poplarshift.core.ingress.IngressOrganisation
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.serving.fixture.TestTasks
import org.poplarshift.serving.ratelimit.FakeTokenSources
import org.poplarshift.serving.ratelimit.RateLimitCounters
import org.poplarshift.serving.ratelimit.RateLimiter

/** Guards against requests that reach a worker without a token, and against tokens of requests that did not use a slot. */
@OptIn(ExperimentalCoroutinesApi::class)
class TokenGateTest :
    FunSpec({
        /** A scheduler with one worker, and a limit with one token that is not refilled. */
        class Fixture(scope: TestScope, slots: Int) {
            val received = ArrayList<SchedulerMessage>()
            private val clock = MonotonicClock { scope.testScheduler.currentTime }
            private val tasks = TestTasks.of(scope.backgroundScope)
            private val workers = LoadBalancer("here", rateShare = { 1.0 }).apply {
                val worker = FleetWorker("w", "s", "10.0.0.1:80", "here", slots, isDraining = false, startedMillis = 1)
                update(if (slots > 0) listOf(worker) else emptyList())
            }
            private val scheduler = SlotScheduler("s", workers, ZoneCapacities())
            private val connection = object : SlotScheduler.NodeConnection {
                override fun send(message: SchedulerMessage) {
                    received += message
                }

                override fun close() = Unit
            }
            private val limiter =
                RateLimiter(tasks, clock, FakeTokenSources(1).of(0), RateLimitCounters(SimpleMeterRegistry()))
                    .apply { update(configuration) }
            private val gate = TokenGate(tasks, clock, limiter)
            val session = gate.connect(scheduler, NodeMessage.Hello("node", emptyList()), connection)

            val hasToken: Boolean
                get() = limiter.tryAcquire("org")

            fun acquire(number: Long, needsToken: Boolean = true) = session.onMessage(
                NodeMessage.Acquire(
                    number,
                    SlotUse.ONLINE,
                    priority = 0,
                    onTimeInMillis = 1_000,
                    organisation = "org",
                    needsToken = needsToken,
                ),
            )
        }

        data class Case(val name: String, val slots: Int = 1, val isReturned: Boolean, val run: Fixture.() -> Unit)
        listOf(
            Case("uses its slot", isReturned = false) {
                acquire(1)
                session.onMessage(NodeMessage.Release(1, SlotOutcome.USED))
            },
            Case("does not use its slot", isReturned = true) {
                acquire(1)
                session.onMessage(NodeMessage.Release(1, SlotOutcome.UNUSED))
            },
            Case("uses its slot, with two releases", isReturned = false) {
                acquire(1)
                session.onMessage(NodeMessage.Release(1, SlotOutcome.FULL))
                session.onMessage(NodeMessage.Release(1, SlotOutcome.UNUSED))
            },
            Case("stops waiting for a slot", isReturned = true) {
                acquire(1, needsToken = false)
                acquire(2)
                session.onMessage(NodeMessage.Release(2, SlotOutcome.UNUSED))
            },
            Case("loses its connection while it waits for a slot", isReturned = true) {
                acquire(1, needsToken = false)
                acquire(2)
                session.onClosed()
            },
            Case("loses its connection while it runs", isReturned = false) {
                acquire(1)
                session.onClosed()
            },
            // It goes on without a scheduler and keeps its token.
            Case("finds no worker", slots = 0, isReturned = false) { acquire(1) },
        ).forEach { case ->
            test("the token of a request is ${if (case.isReturned) "" else "not "}returned when it ${case.name}") {
                runTest {
                    val fixture = Fixture(this, case.slots)
                    delay(WARM_UP_MILLIS)
                    fixture.run(case.run)
                    fixture.hasToken shouldBe case.isReturned
                }
            }
        }

        test("a request without a token is refused and gets no slot, and one that needs none is not") {
            runTest {
                val fixture = Fixture(this, slots = 4)
                delay(WARM_UP_MILLIS)
                listOf(1L, 2L).forEach { fixture.acquire(it) }
                fixture.acquire(3, needsToken = false)
                delay(100)
                fixture.received shouldBe listOf(
                    SchedulerMessage.Granted(1, "w"),
                    SchedulerMessage.Granted(3, "w"),
                    SchedulerMessage.RateExceeded(2, retryMillis = 2_000),
                )
            }
        }

        test("a request that stops waiting for a token is not answered") {
            runTest {
                val fixture = Fixture(this, slots = 4)
                fixture.acquire(1)
                fixture.session.onMessage(NodeMessage.Release(1, SlotOutcome.UNUSED))
                delay(100)
                fixture.received shouldBe emptyList()
            }
        }
    }) {
    private companion object {
        const val WARM_UP_MILLIS = 2_000_000L

        val configuration = IngressConfiguration(
            1,
            emptyList(),
            emptyMap(),
            CallerLimits(1, 1, 1, 1),
            listOf(IngressOrganisation("org", setOf("key"), priority = null, ratePerSecond = 0.001, burst = 1.0)),
        )
    }
}
