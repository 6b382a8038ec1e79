package org.poplarshift.serving.log

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

/** Guards against limits that a slow log always exceeds, and against long waits for one that has recovered. */
class AdaptiveTimeoutTest :
    FunSpec({
        fun AdaptiveTimeout.timeouts(count: Int) = repeat(count) { onTimeout() }
        class Case(val name: String, val expectedMillis: Long, val act: AdaptiveTimeout.() -> Unit)

        listOf(
            Case("begins with the minimum", 1_000) {},
            Case("doubles after a timeout", 2_000) { timeouts(1) },
            Case("ends at the maximum", 8_000) { timeouts(5) },
            Case("leaves a margin for slow answers", 6_000) {
                timeouts(3)
                onAnswer(3_000)
            },
            Case("halves after a fast answer", 4_000) {
                timeouts(3)
                onAnswer(20)
            },
            Case("returns to the minimum after fast answers", 1_000) {
                timeouts(3)
                repeat(4) { onAnswer(20) }
            },
        ).forEach { case ->
            test("the limit ${case.name}") {
                AdaptiveTimeout(minimumMillis = 1_000, maximumMillis = 8_000).also(case.act).millis shouldBe
                    case.expectedMillis
            }
        }
    })
