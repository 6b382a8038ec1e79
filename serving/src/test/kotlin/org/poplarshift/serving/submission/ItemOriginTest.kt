package org.poplarshift.serving.submission

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.poplarshift.core.stream.StreamOrigin
import org.poplarshift.core.stream.VersionRequirement.Only
import org.poplarshift.core.stream.VersionRequirement.Recorded
import org.poplarshift.serving.fixture.ItemRunBench
import org.poplarshift.serving.fixture.ItemRunBench.Worker

/** Guards against results that are joined from the outputs of two software versions, and against output that is dropped early. */
class ItemOriginTest :
    FunSpec({
        // The near worker gets the first run and breaks off after two of four events.
        val near = Worker("near", "v1", zone = "here", breaksOffAfter = 2)
        val same = Worker("same", "v1")
        val other = Worker("other", "v2")
        val saved = StreamOrigin("service", "v1")

        data class Case(
            val name: String,
            val workers: List<Worker>,
            val expected: String,
            val versions: List<Any> = listOf(Recorded, Only("v1")),
            val saved: StreamOrigin? = null,
            val hasSavedOutput: Boolean = saved != null,
            val untilDueMillis: Long = 30_000,
            val isDispatcherStrict: Boolean = true,
            val changes: Map<Int, ItemRunBench.() -> Unit> = emptyMap(),
        )
        listOf(
            Case(
                "another worker of the version continues",
                listOf(near, same, other),
                "1 v1|2 v1|3 v1|4 v1",
            ),
            Case(
                "the only worker of the version is gone",
                listOf(near, other),
                "1 v2|2 v2|3 v2|4 v2",
                listOf(Recorded, Only("v1"), Recorded),
                changes = mapOf(1 to { change("near") { it.copy(isDraining = true) } }),
            ),
            Case(
                "the only worker of the version fails again and again",
                listOf(near.copy(breaksOffAgain = true), other),
                "1 v2|2 v2|3 v2|4 v2",
                listOf(Recorded, Only("v1"), Recorded),
            ),
            Case(
                "the only worker of the version can't be reached for a second",
                listOf(near, other),
                "1 v1|2 v1|3 v1|4 v1",
                changes = mapOf(1 to { state("near").onUnreachable() }, 6 to { state("near").onReachable() }),
            ),
            Case(
                "the only worker of the version is full for six seconds",
                listOf(near, other),
                "1 v1|2 v1|3 v1|4 v1",
                changes = mapOf(
                    1 to { change("near") { it.copy(slots = 0) } },
                    30 to { change("near") { it.copy(slots = 4) } },
                ),
            ),
            Case(
                "the only worker of the version is full, and the result is due soon",
                listOf(near, other),
                "1 v2|2 v2|3 v2|4 v2",
                listOf(Recorded, Only("v1"), Recorded),
                untilDueMillis = 6_000,
                changes = mapOf(1 to { change("near") { it.copy(slots = 0) } }),
            ),
            Case(
                "a dispatcher that does not know versions offers another one",
                listOf(near, other),
                "1 v1|2 v1|3 v1|4 v1",
                isDispatcherStrict = false,
            ),
            Case(
                "another node has saved output of the version",
                listOf(other.copy(zone = "here"), same),
                "1 saved|2 saved|3 v1|4 v1",
                listOf(Only("v1")),
                saved,
            ),
            Case(
                "another node has saved output of a version that is gone",
                listOf(other),
                "1 v2|2 v2|3 v2|4 v2",
                listOf(Only("v1"), Recorded),
                saved,
            ),
            Case(
                "another node has saved output of another service",
                listOf(same),
                "1 v1|2 v1|3 v1|4 v1",
                listOf(Recorded),
                saved.copy(service = "previous"),
            ),
            Case(
                "a node of an earlier release has saved output",
                listOf(same),
                "1 v1|2 v1|3 v1|4 v1",
                listOf(Recorded),
                hasSavedOutput = true,
            ),
        ).forEach { case ->
            test("the result of an item is the output of one version: ${case.name}") {
                val bench = ItemRunBench(case.workers, case.untilDueMillis, case.isDispatcherStrict)
                try {
                    bench.start(case.saved, case.hasSavedOutput)
                    withClue("required ${bench.dispatcher.required}") {
                        bench.runUntilFinished(case.changes) shouldBe case.expected
                    }
                    bench.dispatcher.required shouldBe case.versions
                } finally {
                    bench.close()
                }
            }
        }

        test("the saved progress of a run names the version that has written the output") {
            val bench = ItemRunBench(listOf(near.copy(text = "x".repeat(1_000)), other))
            try {
                bench.start()
                bench.runOnce()
                bench.saveProgress()
                bench.progress?.origin shouldBe StreamOrigin("service", "v1")
                bench.progress?.lastEvent shouldBe 2
            } finally {
                bench.close()
            }
        }
    })
