package org.poplarshift.serving.stream

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.poplarshift.core.stream.StreamOrigin
import org.poplarshift.core.submission.KeyedValue
import org.poplarshift.serving.BackgroundTasks
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.serving.fixture.FakeLog
import org.poplarshift.serving.log.AppendResult
import org.poplarshift.serving.log.NewestResult
import org.poplarshift.serving.log.PartitionedLog
import org.poplarshift.serving.log.TopicFollower

/**
 * Guards against callers that take up a stream at another software version than it began at, because the log does not
 * name every version at which streams may have begun.
 */
@OptIn(ExperimentalCoroutinesApi::class)
class VersionRecordsTest :
    FunSpec({
        class Node(private val scope: TestScope, log: PartitionedLog) {
            private val clock = MonotonicClock { scope.currentTime }
            private val registered = HashSet<StreamOrigin>()
            private val tasks = BackgroundTasks(scope.backgroundScope, clock) {}
            val growth = ArrayList<String>()
            val versions = VersionRecords(tasks, clock, log) { registered }.also { it.onGrowth(growth::add) }
            val follower = TopicFollower(log, clock, TOPIC, 0, versions, waitMillis = 1_500, pauseMillis = 500)
                .also { versions.attach(it) }

            fun start() = apply { scope.backgroundScope.launch { follower.run() } }

            fun register(origin: StreamOrigin) {
                registered += origin
                versions.onWorkersChanged()
            }

            fun mayBegin(origin: StreamOrigin) = versions.isRecorded(origin.service, origin.softwareVersion)

            suspend fun awaitRecorded(origin: StreamOrigin): Long {
                val startMillis = scope.currentTime
                while (!mayBegin(origin)) delay(5)
                return scope.currentTime - startMillis
            }
        }

        suspend fun FakeLog.recorded(): List<String> {
            val page = newest(TOPIC, 0, afterKey = null) as NewestResult.Page
            return page.records.mapNotNull { VersionRecordFormat.decode(it)?.softwareVersion }.sorted()
        }

        class AppendCase(
            val name: String,
            val expectedMillis: LongRange,
            val append: suspend TestScope.(suspend () -> AppendResult) -> AppendResult,
        )
        listOf(
            AppendCase("acknowledged", 0L..100) { it() },
            AppendCase("read before it is acknowledged", 0L..100) {
                it().also { delay(900) }
            },
            AppendCase("refused for a while", FAULT_END..FAULT_END + 2_000) {
                if (currentTime < FAULT_END) AppendResult.Refused("planned") else it()
            },
            AppendCase("executed without a response", 0L..600) {
                it()
                AppendResult.Unknown("planned")
            },
            AppendCase("executed long after the call has failed", 1_000L..1_700) {
                backgroundScope.launch {
                    delay(1_000)
                    it()
                }
                AppendResult.Unknown("planned")
            },
            AppendCase("neither executed nor answered for a while", FAULT_END..FAULT_END + 2_000) {
                if (currentTime < FAULT_END) AppendResult.Unknown("planned") else it()
            },
        ).forEach { case ->
            test("streams begin at a version only when its record is in the log: ${case.name}") {
                runTest {
                    val log = FakeLog()
                    val node = Node(
                        this,
                        object : PartitionedLog by log {
                            override suspend fun append(topic: String, partition: Int, records: List<KeyedValue>) =
                                case.append(this@runTest) { log.append(topic, partition, records) }
                        },
                    ).start()
                    node.follower.awaitStart()
                    backgroundScope.launch {
                        while (true) {
                            if (node.mayBegin(NEW)) log.recorded() shouldBe listOf("2")
                            delay(5)
                        }
                    }
                    node.register(NEW)
                    node.awaitRecorded(NEW) shouldBeInRange case.expectedMillis
                    log.recorded() shouldBe listOf("2")
                }
            }
        }

        class ConfirmCase(val name: String, val expected: Set<StreamOrigin>?, val disturb: FakeLog.() -> Unit = {})
        listOf(
            ConfirmCase("calm", setOf(OLD, NEW)),
            ConfirmCase("a waiting read misses records", setOf(OLD, NEW)) { missesRecords = true },
            ConfirmCase("slow reads", setOf(OLD, NEW)) { readDelayMillis = 60 },
            ConfirmCase("no log", expected = null) { isDown = true },
            ConfirmCase("no response", expected = null) { isSilent = true },
        ).forEach { case ->
            test("confirmed versions include one that another node has just recorded: ${case.name}") {
                runTest {
                    val log = FakeLog()
                    val nodes = List(2) { Node(this, log).start() }
                    nodes.forEach { it.follower.awaitStart() }
                    nodes[0].register(OLD)
                    // Both followers pause after they have read the record.
                    nodes[1].awaitRecorded(OLD)
                    nodes[0].register(NEW)
                    nodes[0].awaitRecorded(NEW)
                    case.disturb(log)
                    val startMillis = currentTime
                    nodes[1].versions.confirmed(setOf("s", "other")) shouldBe case.expected
                    (currentTime - startMillis) shouldBeInRange 0L..400
                    nodes[1].versions.confirmed(setOf("other")) shouldBe case.expected?.let { emptySet() }
                }
            }
        }

        test("calls that ask for the confirmed versions at the same time share a read that is sent after them") {
            runTest {
                val log = FakeLog().apply { readDelayMillis = 20 }
                val node = Node(this, log)
                node.versions.confirmed(setOf("s")) shouldBe null
                node.start().follower.awaitStart()
                var reads = 0
                log.beforeCall = { if (it == "read $TOPIC") reads++ }
                val first = async { node.versions.confirmed(setOf("s")) }
                delay(10)
                log.append(TOPIC, 0, listOf(VersionRecordFormat.record(NEW)))
                val others = List(50) { async { node.versions.confirmed(setOf("s")) } }
                first.await() shouldBe emptySet()
                others.awaitAll().toSet() shouldBe setOf(setOf(NEW))
                // Two of the calls and at most three of the follower.
                (reads <= 5) shouldBe true
            }
        }

        test("a version stays recorded while the log is read anew, and is recorded again if its record is gone") {
            runTest {
                val log = FakeLog()
                val node = Node(this, log).start()
                node.follower.awaitStart()
                node.register(OLD)
                node.awaitRecorded(OLD)
                delay(100)
                log.append(TOPIC, 0, listOf(VersionRecordFormat.record(NEW)))
                var failures = 3
                log.beforeCall = { if (it == "read $TOPIC" && failures-- > 0) throw OutOfMemoryError("planned") }
                repeat(200) {
                    delay(5)
                    node.mayBegin(OLD) shouldBe true
                }
                node.versions.confirmed(setOf("s")) shouldBe setOf(OLD, NEW)
                log.append(TOPIC, 0, listOf(KeyedValue(VersionRecordFormat.keyOf(OLD), ByteArray(0))))
                delay(700)
                log.recorded() shouldBe listOf("1", "2")
                node.mayBegin(OLD) shouldBe true
                node.growth shouldBe listOf("s", "s", "s")
            }
        }
    }) {
    private companion object {
        const val TOPIC = "members"
        const val FAULT_END = 3_000L
        val OLD = StreamOrigin("s", "1")
        val NEW = StreamOrigin("s", "2")
    }
}
