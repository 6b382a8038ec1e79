package org.poplarshift.serving

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest

/** Guards against a node that keeps its duties while a task that they need fails again and again. In virtual time. */
@OptIn(ExperimentalCoroutinesApi::class)
class TaskHealthTest :
    FunSpec({
        data class Case(
            val name: String,
            val runMillis: Long,
            val failures: Int,
            val millis: Long,
            val isSuspended: Boolean,
        )
        listOf(
            Case("that fails at once keeps them for four failures", 0, failures = 4, millis = 9_000, false),
            Case("that fails at once loses them at the fifth failure", 0, failures = 5, millis = 1_600, true),
            Case("that fails each time after a second loses them, too", 1_000, failures = 5, millis = 7_000, true),
            Case("that runs for a while between its failures keeps them", 10_500, failures = 9, millis = 90_000, false),
            Case("that runs for a while after its failures has them again", 0, failures = 8, millis = 20_000, false),
        ).forEach { case ->
            test("the duties that need a task ${case.name}") {
                runTest {
                    val tasks = BackgroundTasks(backgroundScope, { currentTime }) {}
                    var failures = 0
                    tasks.launch("task", setOf(NodeDuty.ITEMS)) {
                        delay(case.runMillis)
                        if (++failures > case.failures) awaitCancellation()
                        error("planned")
                    }
                    advanceTimeBy(case.millis)
                    val expected = if (case.isSuspended) setOf(NodeDuty.ITEMS) else emptySet()
                    withClue("after $failures failures") { tasks.suspendedDuties shouldBe expected }
                    tasks.states.single().isFailing shouldBe case.isSuspended
                }
            }
        }
    })
