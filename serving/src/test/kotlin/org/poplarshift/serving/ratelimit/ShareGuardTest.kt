package org.poplarshift.serving.ratelimit

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import org.poplarshift.core.ingress.IngressOrganisation
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.serving.fixture.FakeLog
import org.poplarshift.serving.fleet.FleetMember
import org.poplarshift.serving.fleet.FleetMembers
import org.poplarshift.serving.log.LogRecord
import org.poplarshift.serving.scheduling.SchedulerDirectory

/**
 * Guards against a coordinator that goes on using its share after others have replaced it, and against one that gives it up
 * although the log is out of reach for all nodes.
 */
@OptIn(ExperimentalCoroutinesApi::class)
class ShareGuardTest :
    FunSpec({
        class Fixture(private val scope: TestScope) {
            val responding = HashSet<String>()
            private val clock = MonotonicClock { scope.testScheduler.currentTime }

            // The fastest node of the zone, and therefore its coordinator.
            private val self = FleetMember("self", "here", "10.0.0.1:1", speed = 9.0)
            private val members = FleetMembers(FakeLog(), clock, "members", self)
            private val directory = SchedulerDirectory(self, members)
            val shares = ShareDirectory(self, clock, setOf("here", "there", "elsewhere"), directory)
            private val guard = ShareGuard(clock, "here", members, shares, { it in responding }) { }

            val share: Double
                get() = shares.ownShare(organisation)

            fun readMembers(names: List<String> = listOf("self", "b", "c", "d")) {
                names.forEach {
                    val speed = if (it == "self") 9.0 else 1.0
                    val value = """{"name":"$it","zone":"here","peerAddress":"10.0.0.2:1","speed":$speed}"""
                    members.onRecord(LogRecord(0, it, value.encodeToByteArray()))
                }
                members.onCaughtUp()
                directory.onMembersChanged()
                shares.onMembersChanged(members.isMember, members.hasPredecessor)
            }

            suspend fun renew() {
                val renewal = scope.backgroundScope.launch { members.run() }
                scope.runCurrent()
                renewal.cancel()
            }

            suspend fun passTime(millis: Long) {
                delay(millis)
                guard.check()
            }
        }

        listOf(true to 1.0 / 3, false to 0.0).forEach { (isRestart, share) ->
            test("a coordinator ${if (isRestart) "that restarts" else "that joins"} has the share $share at once") {
                runTest {
                    val fixture = Fixture(this)
                    if (!isRestart) fixture.readMembers(listOf("b", "c", "d"))
                    fixture.readMembers()
                    fixture.share shouldBe share
                }
            }
        }

        data class Case(val name: String, val silentMillis: Long, val responding: Set<String>, val share: Double)
        listOf(
            Case("was renewed a short time ago", 49_000, emptySet(), 1.0 / 3),
            Case("is not renewed, and half of the zone responds", 51_000, setOf("b"), 1.0 / 3),
            Case("is not renewed, and no other node responds", 51_000, emptySet(), 0.0),
        ).forEach { case ->
            test("the coordinator has the share ${"%.2f".format(case.share)} when its record ${case.name}") {
                runTest {
                    val fixture = Fixture(this)
                    fixture.readMembers()
                    fixture.renew()
                    fixture.responding += case.responding
                    fixture.passTime(case.silentMillis)
                    fixture.share shouldBe case.share
                }
            }
        }

        test("a coordinator that has given up its share has it again some time after its record was renewed") {
            runTest {
                val fixture = Fixture(this)
                fixture.readMembers()
                fixture.passTime(51_000)
                fixture.share shouldBe 0.0
                fixture.renew()
                fixture.passTime(100)
                fixture.share shouldBe 0.0
                fixture.passTime(2_000)
                fixture.share shouldBe 1.0 / 3
            }
        }

        test("a node whose record is not among the members, or not any more, has no share") {
            runTest {
                val fixture = Fixture(this)
                fixture.shares.onMembersChanged(isMember = false)
                fixture.passTime(10_000)
                fixture.share shouldBe 0.0
                fixture.readMembers()
                fixture.passTime(2_000)
                fixture.share shouldBe 1.0 / 3
                fixture.shares.onMembersChanged(isMember = false)
                fixture.share shouldBe 0.0
            }
        }
    }) {
    private companion object {
        val organisation = IngressOrganisation("org", setOf("key"), priority = null, ratePerSecond = 30.0, burst = 30.0)
    }
}
