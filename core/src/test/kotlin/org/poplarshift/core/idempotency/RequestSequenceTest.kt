package org.poplarshift.core.idempotency

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.nulls.shouldNotBeNull

/**
 * Guards requirement R10 against failed and paused nodes, repeated and delayed appends, and abandoned starts. To replay
 * one sequence, set `-Dpoplarshift.seed=N`.
 */
class RequestSequenceTest :
    FunSpec({
        test("no request with a key runs twice or receives a different response") {
            val seeds = System.getProperty("poplarshift.seed")?.let { listOf(it.toLong()) } ?: (1L..SEEDS)
            seeds.mapNotNull { seed -> violation(seed, true)?.let { "seed $seed: $it" } }.shouldBeEmpty()
        }

        test("the invariants detect a dispatch before the start is recorded") {
            val found = (1L..SEEDS).firstNotNullOfOrNull { seed -> violation(seed, false)?.let { "seed $seed: $it" } }
            found.shouldNotBeNull()
            println("idempotency: dispatch before the start record: $found")
        }
    }) {
    private companion object {
        const val SEEDS = 200L
        const val STEPS = 2_000

        fun violation(seed: Long, startBeforeDispatch: Boolean): String? {
            val simulation = RequestSimulation(seed, startBeforeDispatch)
            return runCatching { repeat(STEPS) { simulation.step() } }
                .exceptionOrNull()
                ?.let { if (it is IllegalStateException) "${it.message}" else throw it }
        }
    }
}
