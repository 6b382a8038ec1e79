package org.poplarshift.serving.submission

import io.kotest.assertions.assertSoftly
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import org.poplarshift.serving.fixture.VersionedFleet

/** Guards against results of batch items that are joined from the events of two software versions. */
class MixedItemVersionsTest :
    FunSpec({
        class Case(val name: String, val isMoved: Boolean = true, val play: suspend VersionedFleet.() -> Unit)

        suspend fun VersionedFleet.runAtOneVersion() {
            release("1", "old-1", slots = SLOTS)
            startNodes()
            submit(ITEMS)
        }

        val cases = listOf(
            Case("its worker leaves and crashes, and another version serves") {
                runAtOneVersion()
                release("2", "new-1", slots = SLOTS)
                awaitOrigin("service/2", setOf("a"))
                leave("old-1")
                crash("old-1")
            },
            Case("its worker drains and crashes, and another version serves") {
                runAtOneVersion()
                release("2", "new-1", slots = SLOTS)
                awaitOrigin("service/2", setOf("a"))
                fleet.drain("old-1")
                crash("old-1")
            },
            Case("its worker restarts with another version that no node has read", isMoved = false) {
                runAtOneVersion()
                awaitSavedProgress()
                restart("2", "old-1", slots = SLOTS)
                release("2", "new-1", slots = SLOTS)
            },
            Case("its node is killed after saving progress, and another version has replaced the first") {
                runAtOneVersion()
                awaitSavedProgress()
                kill("a")
                leave("old-1")
                release("2", "new-1", slots = SLOTS)
                startNodes()
            },
            Case("its node is killed after saving progress, and another version is released", isMoved = false) {
                runAtOneVersion()
                awaitSavedProgress()
                kill("a")
                release("2", "new-1", slots = SLOTS)
                startNodes()
            },
        )

        cases.forEach { case ->
            test("the result of an item is of one version when ${case.name}") {
                val fleet = VersionedFleet()
                try {
                    case.play(fleet)
                    val results = fleet.results(ITEMS)
                    if (case.isMoved) fleet.itemRuns("new-1") shouldBeGreaterThan 0
                    for (events in results) {
                        withClue(events.joinToString("\n") { it.trim() }) {
                            assertSoftly {
                                events.map { it.substringAfter(' ').trim() }.toSet().size shouldBe 1
                                events.map { it.substringBefore(' ').toInt() } shouldBe events.indices.map { it + 1 }
                            }
                        }
                    }
                } finally {
                    fleet.fleet.close()
                }
            }
        }
    }) {
    private companion object {
        const val ITEMS = 2

        // Streams do not take the slots of items.
        const val SLOTS = 20
    }
}
