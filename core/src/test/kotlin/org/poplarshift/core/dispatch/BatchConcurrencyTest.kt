package org.poplarshift.core.dispatch

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

/**
 * Guards against batch requests that hold slots which online requests need during load peaks, and against slots that
 * stay idle between the peaks.
 */
class BatchConcurrencyTest :
    FunSpec({
        data class Case(val name: String, val online: Int, val batch: Int, val ownBatch: Int, val expected: Int)
        listOf(
            Case("an idle fleet is filled up to twice the reserve", online = 0, batch = 0, ownBatch = 0, expected = 48),
            Case("batch requests of other nodes count", online = 4, batch = 40, ownBatch = 10, expected = 4),
            Case(
                "nothing starts while less than twice the reserve is free",
                online = 8,
                batch = 40,
                ownBatch = 10,
                expected = 0,
            ),
            Case("nothing stops while the reserve is free", online = 16, batch = 40, ownBatch = 10, expected = 0),
            Case(
                "at a load peak each node stops its proportional part",
                online = 36,
                batch = 40,
                ownBatch = 10,
                expected = -5,
            ),
            Case("nothing stops when no batch run exists", online = 80, batch = 0, ownBatch = 0, expected = 0),
            Case("a node without batch runs stops nothing", online = 60, batch = 40, ownBatch = 0, expected = 0),
            Case("an overload stops all batch runs", online = 90, batch = 20, ownBatch = 20, expected = -20),
        ).forEach { case ->
            test(case.name) {
                BatchConcurrency.adjustment(slots = 64, case.online, case.batch, case.ownBatch, reserve = 8) shouldBe
                    case.expected
            }
        }
    })
