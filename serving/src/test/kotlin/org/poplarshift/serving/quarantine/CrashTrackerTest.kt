package org.poplarshift.serving.quarantine

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import org.poplarshift.core.quarantine.SuspectStatus
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.serving.fixture.FakeLog
import org.poplarshift.serving.fixture.TestTasks
import org.poplarshift.serving.log.ReadResult

/** Guards against a request that crashes every worker it reaches and is retried through any node. */
class CrashTrackerTest :
    FunSpec({
        class Node(scope: CoroutineScope, private val log: FakeLog, name: String) {
            var wallMillis = 1_000_000L
            var monotonicMillis = 0L
            val tracker =
                CrashTracker(TestTasks.of(scope), MonotonicClock { monotonicMillis }, log, "members", name) {
                    wallMillis
                }

            fun loseConnection(worker: String) = tracker.onConnectionLost(WorkerRun("bad", worker))

            suspend fun read() {
                val records = log.read("members", 0, from = 0, waitMillis = 0) as ReadResult.Records
                records.records.filter { tracker.isStrikeKey(it.key) }.forEach { tracker.onRecord(it) }
            }

            val isQuarantined: Boolean
                get() = tracker.statusOf("bad") == SuspectStatus.Quarantined
        }

        data class Case(
            val name: String,
            val crashesAtFirstNode: List<String>,
            val crashesAtSecondNode: List<String> = emptyList(),
            val completes: Boolean = false,
            val elapsedMillis: Long = 0,
            val expectedQuarantine: Boolean,
        )
        listOf(
            Case(
                "two crashes at one node are not enough, because another request may have caused them",
                crashesAtFirstNode = listOf("1", "2"),
                expectedQuarantine = false,
            ),
            Case(
                "three crashes of distinct workers at one node quarantine a request",
                crashesAtFirstNode = listOf("1", "2", "3"),
                expectedQuarantine = true,
            ),
            Case(
                "crashes at different nodes are added up",
                crashesAtFirstNode = listOf("1", "2"),
                crashesAtSecondNode = listOf("3"),
                expectedQuarantine = true,
            ),
            Case(
                "several crashes of one worker count once",
                crashesAtFirstNode = listOf("1", "1"),
                crashesAtSecondNode = listOf("1"),
                expectedQuarantine = false,
            ),
            Case(
                "a completed request is cleared of its strikes",
                crashesAtFirstNode = listOf("1", "2"),
                completes = true,
                crashesAtSecondNode = listOf("3"),
                expectedQuarantine = false,
            ),
            Case(
                "strikes expire",
                crashesAtFirstNode = listOf("1", "2", "3"),
                elapsedMillis = 120_001,
                expectedQuarantine = false,
            ),
        ).forEach { case ->
            test(case.name) {
                coroutineScope {
                    val log = FakeLog(maximumValueBytes = 10_000, maximumAppendBytes = 20_000)
                    val nodes = listOf(Node(this, log, "a"), Node(this, log, "b"), Node(this, log, "reader"))
                    case.crashesAtFirstNode.forEach { nodes[0].loseConnection(it) }
                    if (case.completes) nodes[0].tracker.onCompleted("bad")
                    case.crashesAtSecondNode.forEach { nodes[1].loseConnection(it) }
                    // Longer than the delay before strikes are written.
                    delay(250)
                    nodes[2].wallMillis += case.elapsedMillis
                    nodes[2].read()
                    nodes[2].isQuarantined shouldBe case.expectedQuarantine
                    coroutineContext.cancelChildren()
                }
            }
        }
    })
