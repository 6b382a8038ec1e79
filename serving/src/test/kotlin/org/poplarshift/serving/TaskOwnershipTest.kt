package org.poplarshift.serving

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import java.io.File

/**
 * Guards against a coroutine that is started without [BackgroundTasks], so that its failure is neither counted nor
 * known to those who wait for it. Starting one needs a `CoroutineScope`, or `launch` or `async` in a scope of its own.
 */
class TaskOwnershipTest :
    FunSpec({
        val sources = File(System.getProperty("poplarshift.root"), "serving/src/main/kotlin").walkTopDown()
            .filter { it.extension == "kt" }
            .associate { it.name to it.readText() }

        data class Case(val name: String, val pattern: String, val files: Set<String>)
        listOf(
            Case("a scope", "\\bCoroutineScope\\b", setOf("BackgroundTasks.kt", "ServingNode.kt")),
            Case("a task", "coroutines\\.(launch|\\*)|GlobalScope|runBlocking", setOf("BackgroundTasks.kt")),
            // Within coroutineScope, whose caller gets the failure.
            Case(
                "a value",
                "coroutines\\.async",
                setOf(
                    "BackgroundTasks.kt",
                    "OrganisationTokens.kt",
                    "ShareGuard.kt",
                    "SubmissionService.kt",
                    "TopicFollower.kt",
                    "WorkerPathMonitor.kt",
                ),
            ),
        ).forEach { case ->
            test("only the files that are listed use ${case.name}") {
                val users = sources.filterValues { Regex(case.pattern).containsMatchIn(it) }.keys
                withClue("files that use ${case.pattern}") { users shouldBe case.files }
            }
        }

        test("the node passes its scope to the owner of the tasks only") {
            val uses = sources.getValue("ServingNode.kt").lines()
                .filter { Regex("\\bscope\\b").containsMatchIn(it) }
                .filterNot { "scope: CoroutineScope" in it || "BackgroundTasks(scope" in it }
            uses.shouldBeEmpty()
        }
    })
