package org.poplarshift.serving.stream

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.poplarshift.core.stream.StreamOrigin
import org.poplarshift.serving.fixture.SimulatedOrigins
import kotlin.random.Random

/** Guards against streams that are resumed at another version, and against streams whose origin is lost with a node. */
@OptIn(ExperimentalCoroutinesApi::class)
class ReplicatedStreamOriginsTest :
    FunSpec({
        val origin = StreamOrigin("service", "1")

        // The stream begins at a3, which reports to a1, a2 and b1, and is resumed at c3, which asks c1, c2, a1 and b1.
        class Case(
            val name: String,
            val found: StreamOrigin?,
            val node: String = "c3",
            val stream: String? = "s",
            val before: Set<String> = setOf("1"),
            val services: Set<String> = setOf("service"),
            val disturb: suspend SimulatedOrigins.() -> Unit,
        )

        val both = setOf("1", "2")
        fun SimulatedOrigins.release() {
            recorded += "2"
            nodes.values.forEach { it.readLog() }
        }
        listOf(
            Case("at the node that began it", origin, node = "a3") { withoutLog += "a3" },
            Case("by the log with one version", origin) { nodes.getValue("a3").restart() },
            Case("by the log with one version while replicas are silent", origin) {
                nodes.values.forEach { it.isSilent = true }
            },
            Case("by the log with one version without its id", origin, stream = null) {},
            Case("not without its id with two versions", null, stream = null, before = both) {},
            Case("not with one version and the log away", null) { withoutLog += "c3" },
            Case("at a replica with one version after all nodes have lost the log", origin) {
                withoutLog += nodes.keys
                delay(1_000)
                nodes.getValue("a3").restart()
            },
            Case("not by a view that lacks the second version", null) { recorded += "2" },
            Case("at a replica", origin, before = both) { nodes.getValue("a3").restart() },
            Case("at a replica of a route with two services", origin, services = setOf("service", "other")) {
                nodes.getValue("a3").restart()
            },
            Case("at a replica with the log away", origin, before = both) { withoutLog += "c3" },
            Case("at a replica while others are silent", origin, before = both) {
                listOf("c1", "a1", "c2", "a3").forEach { nodes.getValue(it).isSilent = true }
            },
            Case("not with two versions and all replicas silent", null, before = both) {
                nodes.values.forEach { it.isSilent = true }
            },
            Case("at a replica after a second version has appeared", origin) {
                release()
                delay(100)
                nodes.getValue("a3").restart()
            },
            Case("at a replica that could not be reached at first", origin) {
                nodes.values.forEach { it.isSilent = true }
                release()
                delay(5_000)
                nodes.values.forEach { it.isSilent = false }
                delay(2_000)
                nodes.getValue("a3").restart()
            },
            Case("at replicas that were restarted", origin, before = both) {
                listOf("a1", "a2", "b1").forEach { nodes.getValue(it).restart() }
                delay(2_500)
                nodes.getValue("a3").restart()
            },
            Case("not after a time in which no caller resumes it", null, before = both) { delay(70_000) },
        ).forEach { case ->
            test("the origin of a stream is found ${case.name}") {
                runTest {
                    val fleet = SimulatedOrigins(this, Random(1), services = case.services)
                    fleet.recorded += case.before
                    fleet.nodes.values.forEach { it.readLog() }
                    fleet.nodes.getValue("a3").origins.onBegun("s", origin)
                    delay(100)
                    case.disturb(fleet)
                    val startMillis = currentTime
                    fleet.nodes.getValue(case.node).origins.find(case.stream, case.services) shouldBe case.found
                    currentTime - startMillis shouldBeLessThan if (case.found == null) 600 else 20
                }
            }
        }

        listOf(setOf("1") to 0, both to 3).forEach { (versions, messages) ->
            test("the start of a stream causes $messages messages with the versions $versions") {
                runTest {
                    val fleet = SimulatedOrigins(this, Random(1))
                    fleet.recorded += versions
                    fleet.nodes.values.forEach { it.readLog() }
                    fleet.nodes.getValue("a3").origins.onBegun("s", origin)
                    delay(1_000)
                    fleet.messages shouldBe messages
                }
            }
        }

        (1..SEEDS).forEach { seed ->
            listOf(true, false).forEach { isCalm ->
                test("no origin but the true one is found, all are found if calm ($isCalm), seed $seed") {
                    val outcome = StreamOriginSimulation.run(seed, isCalm)
                    withClue("$outcome") {
                        outcome.wrong shouldBe 0
                        if (isCalm) outcome.missed shouldBe 0
                        (outcome.found > 100) shouldBe true
                    }
                }
            }
        }

        test("the simulation refutes nodes that decide by what they have read of the log") {
            val outcomes = (1..SEEDS).map { StreamOriginSimulation.run(it, isCalm = false, viewDecides = true) }
            println("streams: seeds with wrong origins by the view: ${outcomes.count { it.wrong > 0 }} of $SEEDS")
            (outcomes.sumOf { it.wrong } > 0) shouldBe true
        }
    }) {
    private companion object {
        const val SEEDS = 20
    }
}
