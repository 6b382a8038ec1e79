package org.poplarshift.core.admission

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.poplarshift.core.routing.LoadReport

/** Guards against counting the node's own requests twice, and against online requests that wait behind batch. */
class WorkerLoadTest :
    FunSpec({
        data class Case(
            val name: String,
            val expectedOnline: Int,
            val expectedBatchRoom: Int,
            val events: WorkerLoad.() -> Unit,
        )

        fun report(total: Int) = LoadReport("a", running = total, waiting = 0, capacity = 8)
        listOf(
            Case("an idle worker", 0, 7) {},
            Case("own online requests", 2, 5) { repeat(2) { onDispatched(isBatch = false) } },
            Case("own batch requests do not count as online", 0, 4) { repeat(3) { onDispatched(isBatch = true) } },
            Case("own requests in the report are counted once", 2, 5) {
                repeat(2) { onDispatched(isBatch = false) }
                onReport(report(2))
            },
            Case("an own request that ended before the report arrived", 0, 7) {
                onDispatched(isBatch = false)
                onEnded(isBatch = false)
                onReport(report(1))
            },
            Case("requests of other nodes", 4, 3) { onReport(report(4)) },
            Case("announced batch requests do not count as online", 1, 6) {
                onReport(report(4))
                onBatchAnnounced(running = 3, nowMillis = 0)
            },
            Case("an outdated announcement is ignored", 4, 3) {
                onReport(report(4))
                onBatchAnnounced(running = 3, nowMillis = -1_001)
            },
        ).forEach { case ->
            test("${case.name}: ${case.expectedOnline} online, room for ${case.expectedBatchRoom} batch requests") {
                val load = WorkerLoad().apply(case.events)
                load.onlineLoad(0) shouldBe case.expectedOnline
                load.batchRoom(capacity = 8, headroom = 1, peerOnline = 0, nowMillis = 0) shouldBe
                    case.expectedBatchRoom
            }
        }

        test("the batch room is negative when peers report more online requests than the load report") {
            val load = WorkerLoad().apply { repeat(7) { onDispatched(isBatch = true) } }
            load.batchRoom(capacity = 8, headroom = 1, peerOnline = 3, nowMillis = 0) shouldBe -3
        }
    })
