package org.poplarshift.verification.soak

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest

/** Guards against violations that are due to a soak whose own process gets no processor time, and against hiding others. */
@OptIn(ExperimentalCoroutinesApi::class)
class EventLoopWatchTest :
    FunSpec({
        data class Case(val latenessMillis: Long, val isDisturbed: Boolean)
        listOf(
            Case(latenessMillis = 300, isDisturbed = false),
            Case(latenessMillis = 600, isDisturbed = true),
        ).forEach { case ->
            test("an event loop that is late by ${case.latenessMillis} ms disturbs the store: ${case.isDisturbed}") {
                runTest {
                    var stalledMillis = 0L
                    val disturbances = Disturbances()
                    backgroundScope.launch { EventLoopWatch(disturbances) { currentTime + stalledMillis }.run() }
                    advanceTimeBy(10_050)
                    stalledMillis = case.latenessMillis
                    advanceTimeBy(10_000)
                    disturbances.isInTouch("node", fromMillis = 10_000, toMillis = 12_000) shouldBe !case.isDisturbed
                    disturbances.isInTouch("node", fromMillis = 15_000, toMillis = 16_000) shouldBe true
                }
            }
        }
    })
