package org.poplarshift.core.dispatch

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

/** Guards against requests at full, draining, unreachable or replaced workers while others have room. */
class WorkerBoardTest :
    FunSpec({
        fun worker(id: String, zone: String = "here", isDraining: Boolean = false, startedMillis: Long = 1) =
            FleetWorker(id, "service", "10.0.0.1:80", zone, slots = 2, isDraining, startedMillis)

        fun board(vararg workers: FleetWorker) = WorkerBoard("here") { 0.0 }.apply { update(workers.toList()) }

        test("the least loaded worker is chosen, the own zone among equals") {
            val board = board(worker("far", zone = "there"), worker("near"))
            board.choose("service", headroom = 0, excluded = emptySet(), nowMillis = 0)?.worker?.id shouldBe "near"
            board.seat("near")?.onSent(isBatch = false)
            board.choose("service", headroom = 0, excluded = emptySet(), nowMillis = 0)?.worker?.id shouldBe "far"
        }

        test("requests of other nodes count, and so does a worker's own report for a while") {
            val board = board(worker("a"))
            board.updatePeers(online = mapOf("a" to 1), batch = mapOf("a" to 1))
            board.choose("service", headroom = 0, excluded = emptySet(), nowMillis = 0) shouldBe null
            board.updatePeers(emptyMap(), emptyMap())
            board.seat("a")?.onReport(requests = 2, nowMillis = 0)
            board.choose("service", headroom = 0, excluded = emptySet(), nowMillis = 0) shouldBe null
            board.choose("service", headroom = 0, excluded = emptySet(), nowMillis = 1_000)?.worker?.id shouldBe "a"
        }

        test("draining, excluded and suspect workers are passed over") {
            val board =
                board(worker("draining", isDraining = true), worker("excluded"), worker("suspect"), worker("good"))
            board.seat("suspect")?.onUnreachable()
            board.choose("service", headroom = 0, excluded = setOf("excluded"), nowMillis = 0)?.worker?.id shouldBe
                "good"
            board.hasWorker("service", excluded = setOf("excluded", "good")) shouldBe false
        }

        test("three lost answers in a row make a worker suspect, fewer do not") {
            val seat = WorkerSeat(worker("a"))
            repeat(2) { seat.onLost() }
            seat.isSuspect shouldBe false
            seat.onAlive()
            repeat(3) { seat.onLost() }
            seat.isSuspect shouldBe true
        }

        test("what is known of a worker survives an update, but not its restart under the same id") {
            val board = board(worker("a"))
            board.seat("a")?.onSent(isBatch = false)
            board.update(listOf(worker("a", isDraining = true)))
            board.seat("a")?.online shouldBe 1
            board.update(listOf(worker("a", startedMillis = 2)))
            board.seat("a")?.online shouldBe 0
        }
    })
