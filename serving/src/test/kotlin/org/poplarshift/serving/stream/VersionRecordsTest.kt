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
import org.poplarshift.serving.log.PartitionedLog
import org.poplarshift.serving.log.ReadResult
import org.poplarshift.serving.log.TopicFollower

/**
 * Guards against callers that take up a stream at another software version than it began at, because the log does not
 * name every version at which streams may have begun.
 */
@OptIn(ExperimentalCoroutinesApi::class)
class VersionRecordsTest :
    FunSpec({
        class Node(
            private val scope: TestScope,
            private val topic: FakeLog,
            log: PartitionedLog = topic,
            private val name: String = "a",
        ) : RegisteredVersions {
            private val clock = MonotonicClock { scope.currentTime }
            override val origins = HashSet<StreamOrigin>()
            override val asOfMillis: Long
                get() = scope.currentTime
            private val tasks = BackgroundTasks(scope.backgroundScope, clock) {}
            val growth = ArrayList<String>()
            val versions = VersionRecords(tasks, clock, log, name, this).also { it.onGrowth(growth::add) }
            val follower = TopicFollower(log, clock, TOPIC, 0, versions, waitMillis = 1_500, pauseMillis = 500)
                .also { versions.attach(it) }

            fun announce() = apply {
                scope.backgroundScope.launch {
                    while (true) {
                        topic.append(TOPIC, 0, listOf(KeyedValue(name, "member".encodeToByteArray())))
                        delay(15_000)
                    }
                }
            }

            suspend fun start() = apply {
                scope.backgroundScope.launch { follower.run() }
                scope.backgroundScope.launch { versions.run() }
                follower.awaitStart()
            }

            fun register(origin: StreamOrigin) {
                origins += origin
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
            val all = (read(TOPIC, 0, from = 0, waitMillis = 0) as ReadResult.Records).records
            return all.filter { VersionRecordFormat.isVersionKey(it.key) }.associateBy { it.key }.values
                .filter { !it.isDeletion }.mapNotNull { VersionRecordFormat.decode(it)?.softwareVersion }.sorted()
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
                        log,
                        object : PartitionedLog by log {
                            override suspend fun append(topic: String, partition: Int, records: List<KeyedValue>) =
                                case.append(this@runTest) { log.append(topic, partition, records) }
                        },
                    ).announce().start()
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
                    val nodes = List(2) { Node(this, log, name = "n$it").announce().start() }
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
                node.start()
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
                val node = Node(this, log).announce().start()
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
                log.append(TOPIC, 0, listOf(VersionRecordFormat.removal(OLD)))
                delay(700)
                log.recorded() shouldBe listOf("1", "2")
                node.mayBegin(OLD) shouldBe true
                node.growth shouldBe listOf("s", "s", "s")
            }
        }

        // The record may be removed as soon as all nodes that have announced themselves have agreed.
        test("streams do not begin at a node that has not announced itself") {
            runTest {
                val log = FakeLog()
                val node = Node(this, log).start()
                node.register(OLD)
                delay(5_000)
                node.versions.confirmed(setOf("s")) shouldBe setOf(OLD)
                node.mayBegin(OLD) shouldBe false
                node.announce().awaitRecorded(OLD) shouldBeInRange 0L..600
            }
        }

        class RemovalCase(
            val name: String,
            val expected: List<String>,
            val left: Set<StreamOrigin> = setOf(OLD),
            val disturb: suspend FakeLog.() -> Unit = {},
        )
        listOf(
            RemovalCase("all nodes read the log", listOf("2")),
            RemovalCase("no other version is registered", listOf("1", "2"), left = setOf(OLD, NEW)),
            RemovalCase("a node does not read the log", listOf("1", "2")) {
                append(TOPIC, 0, listOf(KeyedValue("cut-off", "member".encodeToByteArray())))
            },
        ).forEach { case ->
            test("the record of a version is removed when no stream that began there can be resumed: ${case.name}") {
                runTest {
                    val log = FakeLog()
                    val nodes = List(3) { Node(this, log, name = "n$it").announce().start() }
                    case.disturb(log)
                    listOf(OLD, NEW).forEach { origin -> nodes.forEach { it.register(origin) } }
                    nodes.forEach { it.awaitRecorded(OLD) }
                    nodes.forEach { it.origins -= case.left }
                    delay(30_000)
                    log.recorded() shouldBe listOf("1", "2")
                    delay(60_000)
                    log.recorded() shouldBe case.expected
                    nodes.forEach { it.versions.recorded("s") shouldBe case.expected.toSet() }
                    nodes[1].register(OLD)
                    nodes[1].awaitRecorded(OLD) shouldBeInRange 0L..100
                }
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
