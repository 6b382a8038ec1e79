package org.poplarshift.serving.log

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.supervisorScope
import org.poplarshift.core.submission.KeyedValue
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.serving.fixture.FakeLog
import kotlin.time.Duration.Companion.seconds

/** Guards against missed, repeated or reordered records after outages of the log and after deletion of old records. */
class TopicFollowerTest :
    FunSpec({
        class ReceivedRecords : RecordReceiver {
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

        test("the follower delivers the newest record of each key in the order of offsets, followed by new records") {
            val log = FakeLog()
            listOf("c" to "1", "a" to "2", "b" to "3", "a" to "4").forEach { (key, value) -> log.put(key, value) }
            val received = ReceivedRecords()
            coroutineScope {
                launch { follower(log, received).run() }
                eventually(5.seconds) { received.values shouldBe listOf("1", "3", "4") }
                log.put("a", "5")
                eventually(5.seconds) { received.values shouldBe listOf("1", "3", "4", "5") }
                coroutineContext.cancelChildren()
            }
        }

        listOf<Throwable>(IllegalStateException("odd"), StackOverflowError()).forEach { failure ->
            test("a record at which the receiver fails with $failure does not end the follower") {
                val log = FakeLog()
                listOf("a" to "1", "b" to "odd").forEach { (key, value) -> log.put(key, value) }
                val received = ReceivedRecords()
                val receiver = object : RecordReceiver by received {
                    override fun onRecord(record: LogRecord) {
                        if (record.value.decodeToString() == "odd") throw failure
                        received.onRecord(record)
                    }
                }
                supervisorScope {
                    val following = launch { follower(log, receiver).run() }
                    eventually(5.seconds) { received.values shouldBe listOf("1") }
                    log.put("c", "odd")
                    log.put("d", "2")
                    eventually(5.seconds) { received.values shouldBe listOf("1", "2") }
                    following.isActive shouldBe true
                    coroutineContext.cancelChildren()
                }
            }
        }

        test("the follower starts from the newest records again after it has run out of memory") {
            val log = FakeLog()
            val received = ReceivedRecords()
            var failures = 2
            val receiver = object : RecordReceiver by received {
                override fun onRecord(record: LogRecord) {
                    if (record.value.decodeToString() == "2" && failures-- > 0) throw OutOfMemoryError("planned")
                    received.onRecord(record)
                }
            }
            supervisorScope {
                launch { follower(log, receiver).run() }
                listOf("a" to "1", "b" to "2", "c" to "3").forEach { (key, value) -> log.put(key, value) }
                eventually(5.seconds) { received.values shouldBe listOf("1", "2", "3") }
                coroutineContext.cancelChildren()
            }
        }

        data class PagingCase(val name: String, val changes: List<Pair<String, String>>, val expected: List<String>)
        listOf(
            PagingCase(
                "keys of both pages are removed",
                changes = listOf("a" to "", "c" to ""),
                expected = listOf("2", "4"),
            ),
            PagingCase(
                "keys of both pages are replaced",
                changes = listOf("a" to "5", "c" to "6"),
                expected = listOf("2", "4", "5", "6"),
            ),
            PagingCase(
                "a key of the second page is moved to the first one",
                changes = listOf("c" to "", "aa" to "5"),
                expected = listOf("1", "2", "4", "5"),
            ),
            PagingCase(
                "a key is added and removed",
                changes = listOf("e" to "5", "e" to ""),
                expected = listOf("1", "2", "3", "4"),
            ),
            PagingCase(
                "a key is removed and added",
                changes = listOf("a" to "", "a" to "5"),
                expected = listOf("2", "3", "4", "5"),
            ),
        ).forEach { case ->
            // Guards against a start from records that were never in the log at the same time.
            test("the first records are those of one time although the log changes between two pages: ${case.name}") {
                val log = FakeLog()
                listOf("a" to "1", "b" to "2", "c" to "3", "d" to "4").forEach { (key, value) -> log.put(key, value) }
                val changes = case.changes.map { (key, value) -> KeyedValue(key, value.encodeToByteArray()) }
                val changingLog = object : PartitionedLog by log {
                    override suspend fun newest(topic: String, partition: Int, afterKey: String?): NewestResult =
                        log.newest(topic, partition, afterKey).also {
                            if (afterKey == null) log.append("t", 0, changes)
                        }
                }
                val received = ReceivedRecords()
                val firstRecords = CompletableDeferred<List<String>>()
                val receiver = object : RecordReceiver by received {
                    override fun onCaughtUp() {
                        firstRecords.complete(received.values.toList())
                    }
                }
                val follower = TopicFollower(changingLog, MonotonicClock.SYSTEM, "t", 0, receiver, waitMillis = 50)
                coroutineScope {
                    launch { follower.run() }
                    firstRecords.await() shouldBe case.expected
                    follower.position shouldBe 6
                    delay(100)
                    received.values shouldBe case.expected
                    coroutineContext.cancelChildren()
                }
            }
        }

        test("no record is lost or repeated after an outage of the log") {
            val log = FakeLog()
            log.put("a", "1")
            val received = ReceivedRecords()
            val follower = follower(log, received)
            coroutineScope {
                launch { follower.run() }
                eventually(5.seconds) { received.values shouldBe listOf("1") }
                log.isDown = true
                eventually(5.seconds) { follower.isFailing shouldBe true }
                log.isDown = false
                log.put("b", "2")
                eventually(5.seconds) { received.values shouldBe listOf("1", "2") }
                follower.isFailing shouldBe false
                coroutineContext.cancelChildren()
            }
        }

        test("the follower restarts from the newest records if unread records have been deleted") {
            val log = FakeLog()
            log.put("a", "1")
            val received = ReceivedRecords()
            val follower = follower(log, received)
            coroutineScope {
                launch { follower.run() }
                eventually(5.seconds) { received.values shouldBe listOf("1") }
                log.isDown = true
                eventually(5.seconds) { follower.isFailing shouldBe true }
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
