package org.poplarshift.core.orders

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

/** Guards against two concurrent issuers, especially for engines that ignore fencing tokens. */
class OrderIssuerTest :
    FunSpec({
        val settings = OrderSettings(coldStartMillis = 2_000, longestOrderMillis = 1_000)
        val planned = OrderedWorker("w1", 8, DesiredState(setOf(Artifact("a"))))
        val send = IssueDecision.Send(Order("w1", planned.desired, fencingToken = 7))

        data class Case(
            val name: String,
            val checksFencing: Boolean,
            val isFirst: Boolean,
            val atMillis: Long,
            val expected: IssueDecision,
        )
        listOf(
            Case("engines check tokens", true, false, 0, send),
            Case("engines ignore tokens", false, false, 5_079, IssueDecision.WaitUntil(5_080)),
            Case("engines ignore tokens, after the wait", false, false, 5_080, send),
            Case("engines ignore tokens, no former holder", false, true, 0, send),
        ).forEach { case ->
            test("${case.name}, at ${case.atMillis} ms: ${case.expected}") {
                val issuer = OrderIssuer(settings, case.checksFencing, formerLeaseMillis = 4_080)
                issuer.decide(planned, isReserved = true, nowMillis = 0) shouldBe IssueDecision.NotIssuer
                issuer.onSlotGained(7, case.isFirst, nowMillis = 0)
                issuer.decide(planned, isReserved = true, nowMillis = case.atMillis) shouldBe case.expected
                issuer.onSlotLost()
                issuer.decide(planned, isReserved = true, nowMillis = 10_000) shouldBe IssueDecision.NotIssuer
            }
        }

        test("each load requires a reservation from the weight store") {
            val issuer = OrderIssuer(settings, checksFencing = true, formerLeaseMillis = 4_080)
            issuer.onSlotGained(7, isFirst = false, nowMillis = 0)
            issuer.decide(planned, isReserved = false, nowMillis = 0) shouldBe IssueDecision.Reserve(planned)
            issuer.onRateLimited(retryAfterMillis = 300, nowMillis = 0)
            issuer.decide(planned, isReserved = false, nowMillis = 299) shouldBe IssueDecision.WaitUntil(300)
            issuer.decide(planned, isReserved = false, nowMillis = 300) shouldBe IssueDecision.Reserve(planned)
        }

        test("the next change waits for the duration of a cold start") {
            val issuer = OrderIssuer(settings, checksFencing = true, formerLeaseMillis = 4_080)
            issuer.onSlotGained(7, isFirst = false, nowMillis = 0)
            issuer.decide(planned, isReserved = true, nowMillis = 0) shouldBe send
            issuer.decide(planned, isReserved = true, nowMillis = 1_999) shouldBe IssueDecision.WaitUntil(2_000)
        }
    })
