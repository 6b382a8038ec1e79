package org.poplarshift.serving.forward

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import org.poplarshift.core.dispatch.FleetWorker
import org.poplarshift.core.dispatch.LoadBalancer
import org.poplarshift.core.dispatch.WorkerState
import org.poplarshift.serving.MonotonicClock

/**
 * Guards against the order of arrival at the peaks of a day with steps of load: with it each request waits as long as the
 * queue is, and all are late.
 */
class WorkerDispatcherTest :
    FunSpec({
        data class Request(val name: String, val rank: Int, val onTimeMillis: Long)
        data class Case(val name: String, val requests: List<Request>, val expected: List<String>)
        listOf(
            Case(
                "an urgent rank goes first",
                listOf(Request("later", rank = 2, 2_000), Request("urgent", rank = 0, 2_000)),
                listOf("urgent", "later"),
            ),
            Case(
                "requests that can still be on time go before those that can't",
                listOf(Request("late", rank = 0, 900), Request("on time", rank = 0, 1_100)),
                listOf("on time", "late"),
            ),
            Case(
                "otherwise the first to come goes first",
                listOf(Request("first", rank = 0, 2_000), Request("second", rank = 0, 1_500)),
                listOf("first", "second"),
            ),
        ).forEach { case ->
            test(case.name) {
                val worker =
                    FleetWorker("w", "s", "10.0.0.1:80", "here", slots = 1, isDraining = false, startedMillis = 1)
                val board = LoadBalancer("here").apply { update(listOf(worker)) }
                val served = ArrayList<String>()
                coroutineScope {
                    val dispatcher = WorkerDispatcher(this, board, MonotonicClock { 1_000 })
                    fun demand(request: Request) =
                        SeatDemand("s", request.rank, waitMillis = 5_000, onTimeMillis = request.onTimeMillis)
                    val holder = dispatcher.acquire(SeatDemand("s", rank = 0, waitMillis = 0)) as SeatResult.Taken
                    val waiting = case.requests.map { request ->
                        launch(start = CoroutineStart.UNDISPATCHED) {
                            val taken = dispatcher.acquire(demand(request)) as SeatResult.Taken
                            served += request.name
                            dispatcher.release(taken.seat, isBatch = false)
                        }
                    }
                    dispatcher.release(holder.seat, isBatch = false)
                    waiting.forEach { it.join() }
                    coroutineContext.cancelChildren()
                }
                served shouldBe case.expected
            }
        }

        test("a request that no worker can ever take is refused at once") {
            val board = LoadBalancer("here")
            coroutineScope {
                val dispatcher = WorkerDispatcher(this, board, MonotonicClock { 0 })
                dispatcher.acquire(SeatDemand("s", rank = 0, waitMillis = 60_000)) shouldBe SeatResult.NoWorker
            }
        }

        test("a cancelled request leaves its seat to others") {
            val worker = FleetWorker("w", "s", "10.0.0.1:80", "here", slots = 1, isDraining = false, startedMillis = 1)
            val board = LoadBalancer("here").apply { update(listOf(worker)) }
            val seat: WorkerState = board.workerStates.single()
            coroutineScope {
                val dispatcher = WorkerDispatcher(this, board, MonotonicClock { 0 })
                val holder = dispatcher.acquire(SeatDemand("s", rank = 0, waitMillis = 0)) as SeatResult.Taken
                val cancelled = launch(start = CoroutineStart.UNDISPATCHED) {
                    dispatcher.acquire(SeatDemand("s", rank = 0, waitMillis = 5_000))
                }
                cancelled.cancel()
                cancelled.join()
                dispatcher.release(holder.seat, isBatch = false)
                seat.online shouldBe 0
                dispatcher.waiting shouldBe 0
                coroutineContext.cancelChildren()
            }
        }
    })
