package org.poplarshift.core.batch.sequence

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.nulls.shouldNotBeNull

/**
 * Guards requirements R1, R2 and R10 against node failures, paused holders, repeated and delayed appends, resent jobs,
 * cancellations and expiry of log records. To replay one sequence, set `-Dpoplarshift.seed=N`.
 */
class BatchSequenceTest :
    FunSpec({
        test("no sequence loses, repeats or changes a result") {
            val seeds = System.getProperty("poplarshift.seed")?.let { listOf(it.toLong()) } ?: (1L..SEEDS)
            val violations = seeds.mapNotNull { seed -> violation(seed, SimulationRules())?.let { "seed $seed: $it" } }
            violations.shouldBeEmpty()
        }

        val faults = mapOf(
            "items are sent before their start is recorded" to SimulationRules(startBeforeDispatch = false),
            "the last result wins" to SimulationRules(firstResultWins = false),
            "nothing is carried forward" to SimulationRules(carryForward = false),
        )
        faults.forEach { (name, rules) ->
            test("the invariants find that $name") {
                val found = (1L..SEEDS).firstNotNullOfOrNull { seed ->
                    violation(seed, rules)?.let { "seed $seed: $it" }
                }
                found.shouldNotBeNull()
                println("batch: $name: $found")
            }
        }
    }) {
    private companion object {
        const val SEEDS = 60L
        const val STEPS = 2_500

        fun violation(seed: Long, rules: SimulationRules): String? {
            val simulation = BatchSimulation(seed, rules)
            return runCatching {
                repeat(STEPS) { simulation.step() }
                simulation.settle()
            }.exceptionOrNull()?.let { if (it is IllegalStateException) "${it.message}" else throw it }
        }
    }
}
