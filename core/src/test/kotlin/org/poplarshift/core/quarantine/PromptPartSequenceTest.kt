package org.poplarshift.core.quarantine

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual

/**
 * Guards against requests that keep crashing workers because of one prompt part, and against the refusal of harmless
 * requests with their other parts. Unrelated crashes overlap, and the evidence of the nodes is delayed.
 */
class PromptPartSequenceTest :
    FunSpec({
        fun simulate(seed: Long, identification: CrashIdentification, outageMillis: Long? = null) =
            PromptPartSimulation(seed, identification, outageMillis).run()

        data class Case(val name: String, val outageMillis: Long?)
        listOf(
            Case("while single workers crash", outageMillis = null),
            Case("while all workers crash before the part arrives", outageMillis = 1_000),
            Case("while all workers crash with the part", outageMillis = 2_500),
            Case("while all workers crash after the part was found", outageMillis = 15_000),
        ).forEach { case ->
            test("at most three requests with a crashing part reach workers after the fifth crash, ${case.name}") {
                var refused = 0
                var harmless = 0
                (1L..200L).forEach { seed ->
                    withClue("seed $seed") {
                        val simulation = simulate(seed, CrashIdentification.PROMPT_PARTS, case.outageMillis)
                        simulation.laterCrashingRequests shouldBeLessThanOrEqual 3
                        simulation.laterHarmlessRequests shouldBeGreaterThan 200
                        simulation.laterRefused shouldBeLessThanOrEqual simulation.laterHarmlessRequests / 2
                        refused += simulation.laterRefused
                        harmless += simulation.laterHarmlessRequests
                    }
                }
                println("prompt parts: ${case.name}: $refused of $harmless harmless requests refused")
                refused shouldBeLessThanOrEqual harmless / 1_000
            }
        }

        test("the simulation finds requests that are identified as a whole only") {
            (1L..10L).filter { simulate(it, CrashIdentification.WHOLE_REQUESTS).laterCrashingRequests <= 3 }
                .shouldBeEmpty()
        }

        test("the simulation finds parts that are blamed although requests with them are answered") {
            val runs = (1L..50L).map { simulate(it, CrashIdentification.NO_ACQUITTALS, outageMillis = 15_000) }
            runs.sumOf { it.laterRefused } shouldBeGreaterThan runs.sumOf { it.laterHarmlessRequests } / 1_000
        }
    })
