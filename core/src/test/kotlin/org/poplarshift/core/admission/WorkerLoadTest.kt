package org.poplarshift.core.admission

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.poplarshift.core.routing.LoadReport

/** Guards against counting own requests twice, and against online requests that wait behind batch. */
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
            Case("idle", 0, 7) {},
            Case("own online", 2, 5) { repeat(2) { onDispatched(isBatch = false) } },
            Case("own batch is not online", 0, 4) { repeat(3) { onDispatched(isBatch = true) } },
            Case("own requests in the report", 2, 5) {
                repeat(2) { onDispatched(isBatch = false) }
                onReport(report(2))
            },
            Case("own request that has ended since", 0, 7) {
                onDispatched(isBatch = false)
                onEnded(isBatch = false)
                onReport(report(1))
            },
            Case("others' requests", 4, 3) { onReport(report(4)) },
            Case("others' batch is not online", 1, 6) {
                onReport(report(4))
                onBatchAnnounced(running = 3, nowMillis = 0)
            },
            Case("old announcement", 4, 3) {
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

        test("online demand of peers that is newer than the load report makes the batch room negative") {
            val load = WorkerLoad().apply { repeat(7) { onDispatched(isBatch = true) } }
            load.batchRoom(capacity = 8, headroom = 1, peerOnline = 3, nowMillis = 0) shouldBe -3
        }
    })
