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
 * Guards against dispatching in order of arrival at load peaks: every request then waits for the whole queue, so that
 * all of them are late.
 */
class WorkerDispatcherTest :
    FunSpec({
        data class Request(val name: String, val priority: Int, val dispatchDeadlineMillis: Long)
        data class Case(val name: String, val requests: List<Request>, val expected: List<String>)
        listOf(
            Case(
                "a request with a smaller priority value is dispatched first",
                listOf(Request("later", priority = 2, 2_000), Request("urgent", priority = 0, 2_000)),
                listOf("urgent", "later"),
            ),
            Case(
                "requests that can still be on time are dispatched before those that can't",
                listOf(Request("late", priority = 0, 900), Request("on time", priority = 0, 1_100)),
                listOf("on time", "late"),
            ),
            Case(
                "otherwise requests are dispatched in order of arrival",
                listOf(Request("first", priority = 0, 2_000), Request("second", priority = 0, 1_500)),
                listOf("first", "second"),
            ),
        ).forEach { case ->
            test(case.name) {
                val worker =
                    FleetWorker("w", "s", "10.0.0.1:80", "here", slots = 1, isDraining = false, startedMillis = 1)
                val loadBalancer = LoadBalancer("here").apply { update(listOf(worker)) }
                val dispatched = ArrayList<String>()
                coroutineScope {
                    val dispatcher = WorkerDispatcher(this, loadBalancer, MonotonicClock { 1_000 })
                    fun dispatchRequest(request: Request) = DispatchRequest(
                        "s",
                        request.priority,
                        waitMillis = 5_000,
                        dispatchDeadlineMillis = request.dispatchDeadlineMillis,
                    )
                    val running = dispatcher.acquire(
                        DispatchRequest("s", priority = 0, waitMillis = 0),
                    ) as DispatchResult.Assigned
                    val waiting = case.requests.map { request ->
                        launch(start = CoroutineStart.UNDISPATCHED) {
                            val assigned = dispatcher.acquire(dispatchRequest(request)) as DispatchResult.Assigned
                            dispatched += request.name
                            dispatcher.release(assigned.target, isBatch = false)
                        }
                    }
                    dispatcher.release(running.target, isBatch = false)
                    waiting.forEach { it.join() }
                    coroutineContext.cancelChildren()
                }
                dispatched shouldBe case.expected
            }
        }

        test("a request to a service without workers is refused without waiting") {
            val loadBalancer = LoadBalancer("here")
            coroutineScope {
                val dispatcher = WorkerDispatcher(this, loadBalancer, MonotonicClock { 0 })
                dispatcher.acquire(DispatchRequest("s", priority = 0, waitMillis = 60_000)) shouldBe
                    DispatchResult.NoWorker
            }
        }

        test("a cancelled request does not occupy a slot") {
            val worker = FleetWorker("w", "s", "10.0.0.1:80", "here", slots = 1, isDraining = false, startedMillis = 1)
            val loadBalancer = LoadBalancer("here").apply { update(listOf(worker)) }
            val target: WorkerState = loadBalancer.workerStates.single()
            coroutineScope {
                val dispatcher = WorkerDispatcher(this, loadBalancer, MonotonicClock { 0 })
                val running = dispatcher.acquire(
                    DispatchRequest("s", priority = 0, waitMillis = 0),
                ) as DispatchResult.Assigned
                val cancelled = launch(start = CoroutineStart.UNDISPATCHED) {
                    dispatcher.acquire(DispatchRequest("s", priority = 0, waitMillis = 5_000))
                }
                cancelled.cancel()
                cancelled.join()
                dispatcher.release(running.target, isBatch = false)
                target.online shouldBe 0
                dispatcher.waiting shouldBe 0
                coroutineContext.cancelChildren()
            }
        }
    })
