package org.poplarshift.serving.log

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import org.poplarshift.core.submission.KeyedValue
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.serving.fixture.FakeLog
import kotlin.time.Duration.Companion.seconds

/** Guards against records that are missed, repeated or out of order after outages and dropped history. */
class TopicFollowerTest :
    FunSpec({
        class Received : RecordReceiver {
            val values = ArrayList<String>()
            var restarts = 0

            override fun onRestart() {
                restarts++
                values.clear()
            }

            override fun onRecord(record: LogRecord) {
                values += record.value.decodeToString()
            }
        }

        suspend fun FakeLog.put(key: String, value: String) =
            append("t", 0, listOf(KeyedValue(key, value.encodeToByteArray())))
        fun follower(log: FakeLog, receiver: RecordReceiver) =
            TopicFollower(log, MonotonicClock.SYSTEM, "t", 0, receiver, waitMillis = 50)

        test("it starts from the newest record of each key, in the order of offsets, and goes on with new ones") {
            val log = FakeLog()
            listOf("c" to "1", "a" to "2", "b" to "3", "a" to "4").forEach { (key, value) -> log.put(key, value) }
            val received = Received()
            coroutineScope {
                launch { follower(log, received).run() }
                eventually(5.seconds) { received.values shouldBe listOf("1", "3", "4") }
                log.put("a", "5")
                eventually(5.seconds) { received.values shouldBe listOf("1", "3", "4", "5") }
                coroutineContext.cancelChildren()
            }
        }

        test("an outage ends without loss or repetition") {
            val log = FakeLog()
            log.put("a", "1")
            val received = Received()
            val follower = follower(log, received)
            coroutineScope {
                launch { follower.run() }
                eventually(5.seconds) { received.values shouldBe listOf("1") }
                log.isDown = true
                eventually(5.seconds) { follower.isDisturbed shouldBe true }
                log.isDown = false
                log.put("b", "2")
                eventually(5.seconds) { received.values shouldBe listOf("1", "2") }
                follower.isDisturbed shouldBe false
                coroutineContext.cancelChildren()
            }
        }

        test("history that was dropped before it was read is made up from the newest records") {
            val log = FakeLog()
            log.put("a", "1")
            val received = Received()
            val follower = follower(log, received)
            coroutineScope {
                launch { follower.run() }
                eventually(5.seconds) { received.values shouldBe listOf("1") }
                log.isDown = true
                eventually(5.seconds) { follower.isDisturbed shouldBe true }
                log.isDown = false
                log.put("b", "2")
                log.put("b", "3")
                log.firstOffset = 3
                eventually(5.seconds) { received.values shouldBe listOf("1", "3") }
                received.restarts shouldBe 2
                coroutineContext.cancelChildren()
            }
        }
    })
