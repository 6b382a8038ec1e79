package org.poplarshift.core.stream

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import org.poplarshift.core.stream.VersionSimulation.Variant
import kotlin.random.Random

/**
 * Guards against a version at which a stream has begun and that the log does not name, so that a caller who resumes the
 * stream is taken to another version.
 */
class VersionSequenceTest :
    FunSpec({
        test("the log names each version at which a stream may have begun within the last 30 seconds") {
            var removals = 0
            seeds.forEach { seed ->
                val simulation = VersionSimulation(Random(seed), Variant.NONE)
                withClue("seed $seed") { simulation.run(DURATION_MILLIS) shouldBe null }
                removals += simulation.removals
            }
            removals shouldBeGreaterThan seeds.count()
        }

        Variant.entries.filter { it != Variant.NONE }.forEach { variant ->
            test("the sequences refute nodes with the fault $variant") {
                val refuting = seeds.firstOrNull { VersionSimulation(Random(it), variant).run(DURATION_MILLIS) != null }
                withClue("seeds $seeds") { refuting shouldNotBe null }
            }
        }
    }) {
    private companion object {
        val seeds = 1L..40L
        const val DURATION_MILLIS = 1_200_000L
    }
}
