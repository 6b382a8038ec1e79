package org.poplarshift.core.quarantine

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import org.poplarshift.core.simulation.VirtualTime
import kotlin.random.Random

/**
 * Guards against requests that crash one worker after another, and against the quarantine of harmless requests that ran
 * on a worker when it crashed. Callers resend a crashing request through random nodes after each failure, while worker
 * crashes overlap and updates between nodes are delayed.
 */
class QuarantineSequenceTest :
    FunSpec({
        class Outcome(val problems: List<String>, val harmlessCompleted: Int, val crashingRefused: Int)

        fun simulate(seed: Long, policy: SuspectPolicy, randomCrashes: Boolean): Outcome {
            val time = VirtualTime()
            val random = Random(seed)
            val fleet = SimulatedFleet(time, random, policy)
            val harmless = mutableSetOf<String>()
            var harmlessCompleted = 0
            var crashingRefused = 0

            fun send(request: SimulatedRequest, next: () -> Unit) {
                fleet.nodes.random(random).handle(request) { response ->
                    val ended = response == SimulatedResponse.DONE || response == SimulatedResponse.QUARANTINED
                    if (response == SimulatedResponse.DONE) harmlessCompleted++
                    if (ended && request.isCrashing) crashingRefused++
                    time.after(random.nextLong(1, 200)) { if (ended) next() else send(request, next) }
                }
            }

            fun harmlessCaller(caller: Int, number: Int) {
                val request = SimulatedRequest("harmless $caller.$number", isCrashing = false)
                harmless += request.fingerprint
                send(request) { harmlessCaller(caller, number + 1) }
            }
            repeat(12) { harmlessCaller(it, 0) }
            repeat(5) { number ->
                time.after(random.nextLong(0, 10_000)) {
                    send(SimulatedRequest("crashing $number", isCrashing = true)) {}
                }
            }
            if (randomCrashes) {
                repeat(10) {
                    time.after(random.nextLong(0, 20_000)) { fleet.kill(SimulatedFleet.WORKERS.random(random)) }
                }
            }
            time.run(endMillis = 120_000)
            val quarantined = harmless.filter { fingerprint ->
                fleet.nodes.any { it.table.statusOf(fingerprint, time.nowMillis) == SuspectStatus.Quarantined }
            }
            val problems =
                fleet.crashes.filterValues { it > 2 }.map { "seed $seed: ${it.key} crashed ${it.value} workers" } +
                    if (randomCrashes) emptyList() else quarantined.map { "seed $seed: $it was quarantined" }
            return Outcome(problems, harmlessCompleted, crashingRefused)
        }

        listOf(false, true).forEach { randomCrashes ->
            test("a crashing request crashes at most two workers (random crashes: $randomCrashes)") {
                (1L..200L).forEach { seed ->
                    val outcome = simulate(seed, SuspectPolicy.EXCLUSIVE_SUSPECTS, randomCrashes)
                    outcome.problems.shouldBeEmpty()
                    withClue("seed $seed") {
                        outcome.crashingRefused shouldBe 5
                        outcome.harmlessCompleted shouldBeGreaterThan 500
                    }
                }
            }
        }

        (SuspectPolicy.entries - SuspectPolicy.EXCLUSIVE_SUSPECTS).forEach { policy ->
            test("the simulation finds problems of the broken policy $policy") {
                val problems = (1L..20L).flatMap { simulate(it, policy, randomCrashes = false).problems }
                println(
                    "quarantine: $policy has ${problems.size} problems in 20 seeds, first: ${problems.firstOrNull()}",
                )
                problems.size shouldBeGreaterThan 0
            }
        }
    })
