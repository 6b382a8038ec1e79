package org.poplarshift.serving.fleet

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.poplarshift.core.dispatch.FleetWorker
import org.poplarshift.core.dispatch.LoadBalancer
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.serving.fixture.FakeLog
import org.poplarshift.serving.log.LogRecord
import org.poplarshift.serving.log.TopicFollower

/** Guards against the removal of live workers whose registry entries expired during an outage of the log. */
class WorkerRegistryTest :
    FunSpec({
        class Fixture {
            var now = 100_000L
            val log = FakeLog()
            val clock = MonotonicClock { now }
            val registry = WorkerRegistry(LoadBalancer("here"), clock, ::decode) {}
            val follower = TopicFollower(log, clock, "t", 0, registry, waitMillis = 10).also { registry.follower = it }

            fun decode(key: String, value: ByteArray): WorkerResult = when (value.decodeToString()) {
                "ready" -> WorkerResult.Valid(
                    FleetWorker(key, "s", "10.0.0.1:80", "here", 1, isDraining = false, startedMillis = 1),
                )
                "nonsense" -> WorkerResult.Invalid("test")
                else -> WorkerResult.Valid(
                    FleetWorker(key, "s", "10.0.0.1:80", "here", 1, isDraining = false, startedMillis = 1),
                    coldMillis = value.decodeToString().toLong(),
                )
            }

            fun record(key: String, value: String) = registry.onRecord(LogRecord(0, key, value.encodeToByteArray()))

            fun known(): List<String> {
                registry.onCaughtUp()
                return registry.known.map { it.id }
            }

            suspend fun failAndRecoverLog() = coroutineScope {
                val running = launch { follower.run() }
                log.isDown = true
                while (!follower.isFailing) delay(5)
                log.isDown = false
                while (follower.isFailing) delay(5)
                running.cancel()
                coroutineContext.cancelChildren()
            }
        }

        test("an entry that is removed while the log is stable is dropped immediately") {
            val fixture = Fixture()
            fixture.record("a", "ready")
            fixture.record("a", "")
            fixture.known() shouldBe emptyList()
        }

        test("an entry that expired during an outage is kept for the grace period, and longer if it is renewed") {
            val fixture = Fixture()
            fixture.record("lives", "ready")
            fixture.record("gone", "ready")
            fixture.failAndRecoverLog()
            fixture.record("lives", "ready")
            fixture.record("gone", "ready")
            fixture.record("lives", "")
            fixture.record("gone", "")
            fixture.known() shouldBe listOf("lives", "gone")
            fixture.record("lives", "ready")
            fixture.now += WorkerRegistry.GRACE_MILLIS
            fixture.known() shouldBe listOf("lives")
        }

        data class ColdCase(val name: String, val entries: List<Pair<Long, String>>, val expectedMillis: Long)
        listOf(
            ColdCase("a worker that is not cold", listOf(0L to "0"), expectedMillis = 0),
            ColdCase("the first entry of a worker", listOf(0L to "5000"), expectedMillis = 5_000),
            ColdCase("an entry that is read a little later", listOf(0L to "5000", 900L to "3900"), 5_000),
            ColdCase("a worker that has become cold again", listOf(0L to "5000", 900L to "9000"), 9_900),
            ColdCase("a worker that is warm earlier", listOf(0L to "5000", 900L to "0"), expectedMillis = 0),
        ).forEach { case ->
            test("a worker is cold for the time that its entry states, from when it is read: ${case.name}") {
                val fixture = Fixture()
                val start = fixture.now
                for ((afterMillis, value) in case.entries) {
                    fixture.now = start + afterMillis
                    fixture.record("a", value)
                }
                fixture.registry.known.single().coldUntilMillis shouldBe
                    if (case.expectedMillis == 0L) 0L else start + case.expectedMillis
            }
        }

        test("an entry that can't be decoded removes the worker") {
            val fixture = Fixture()
            fixture.record("a", "ready")
            fixture.record("a", "nonsense")
            fixture.known() shouldBe emptyList()
        }
    })
