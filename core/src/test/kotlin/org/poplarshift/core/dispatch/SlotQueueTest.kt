package org.poplarshift.core.dispatch

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

/**
 * Guards against dispatching in order of arrival at load peaks, which makes every request wait for the whole queue, and
 * against batch items that hold slots which online requests need.
 */
class SlotQueueTest :
    FunSpec({
        fun worker(id: String, slots: Int) =
            FleetWorker(id, "s", "10.0.0.1:80", "here", slots, isDraining = false, startedMillis = 1)

        fun queue(vararg slots: Int) = SlotQueue(
            "s",
            LoadBalancer("here") {
                0.0
            }.apply { update(slots.mapIndexed { index, count -> worker("w$index", count) }) },
        )

        fun request(
            number: Long,
            use: SlotUse = SlotUse.ONLINE,
            priority: Int = 0,
            onTimeUntilMillis: Long = 2_000,
            excluded: Set<String> = emptySet(),
        ) = SlotRequest(SlotKey("node", number), use, priority, onTimeUntilMillis, excluded)

        data class OrderCase(val name: String, val waiting: List<SlotRequest>, val expected: List<Long>)
        listOf(
            OrderCase(
                "a request with a smaller priority value is dispatched first",
                listOf(request(1, priority = 2), request(2, priority = 0)),
                listOf(2, 1),
            ),
            OrderCase(
                "requests that can still be on time are dispatched before those that can't",
                listOf(request(1, onTimeUntilMillis = 900), request(2, onTimeUntilMillis = 1_100)),
                listOf(2, 1),
            ),
            OrderCase(
                "otherwise online requests are dispatched in order of arrival",
                listOf(request(1, onTimeUntilMillis = 2_000), request(2, onTimeUntilMillis = 1_500)),
                listOf(1, 2),
            ),
            OrderCase(
                "online requests precede batch items, and urgent items the others",
                listOf(
                    request(1, SlotUse.BATCH, onTimeUntilMillis = 9_000),
                    request(2, SlotUse.URGENT_BATCH, onTimeUntilMillis = 6_000),
                    request(3),
                ),
                listOf(3, 2, 1),
            ),
            OrderCase(
                "batch items are ordered by due time, those that will be late last",
                listOf(
                    request(1, SlotUse.URGENT_BATCH, onTimeUntilMillis = 1_500),
                    request(2, SlotUse.URGENT_BATCH, onTimeUntilMillis = 9_000),
                    request(3, SlotUse.URGENT_BATCH, onTimeUntilMillis = 7_000),
                ),
                listOf(3, 2, 1),
            ),
        ).forEach { case ->
            test(case.name) {
                val queue = queue(1)
                queue.submit(request(0), nowMillis = 1_000) shouldBe SlotDecision.Granted("w0")
                case.waiting.forEach { queue.submit(it, nowMillis = 1_000) shouldBe SlotDecision.Queued }
                val dispatched = ArrayList<Long>()
                var running = 0L
                repeat(case.waiting.size) {
                    queue.release(SlotKey("node", running))
                    queue.selectPreemptions(nowMillis = 1_000)
                    val event = queue.dispatch(nowMillis = 1_000).single()
                    running = event.key.number
                    dispatched += running
                }
                dispatched shouldBe case.expected
            }
        }

        data class FairCase(val name: String, val organisations: String, val expected: String)
        listOf(
            FairCase("a flood of one organisation waits behind a request of another", "aaaaaaaab", "aaabaaaaa"),
            FairCase("organisations share the slots by their weights", "aaaaaaaacccccccc", "aaacaacaacaccccc"),
            FairCase("requests of nodes that state no organisation share one flow", "----a--", "--a----"),
            FairCase("organisations within their credit are served in order of arrival", "abcabc", "abcabc"),
        ).forEach { case ->
            test(case.name) {
                val balancer = LoadBalancer("here") { 0.0 }.apply { update(listOf(worker("w", 1))) }
                val queue = SlotQueue("s", balancer, weight = { if (it == "a") 2.0 else 1.0 })
                queue.submit(request(0), nowMillis = 0)
                case.organisations.forEachIndexed { index, organisation ->
                    val name = organisation.toString().takeIf { it != "-" }
                    queue.submit(request(index + 1L).copy(organisation = name), nowMillis = 0)
                }
                val served = StringBuilder()
                var running = 0L
                repeat(case.organisations.length) {
                    queue.release(SlotKey("node", running))
                    running = queue.dispatch(nowMillis = 0).single().key.number
                    served.append(case.organisations[running.toInt() - 1])
                }
                served.toString() shouldBe case.expected
            }
        }

        data class ReserveCase(val name: String, val online: Int, val use: SlotUse, val granted: Int)
        listOf(
            ReserveCase(
                "batch items leave the reserve of an idle service free",
                online = 0,
                SlotUse.BATCH,
                granted = 60,
            ),
            ReserveCase("online requests reduce what batch items get", online = 30, SlotUse.BATCH, granted = 30),
            ReserveCase("batch items get nothing at a load peak", online = 62, SlotUse.BATCH, granted = 0),
            ReserveCase("urgent items also use the reserve", online = 50, SlotUse.URGENT_BATCH, granted = 14),
        ).forEach { case ->
            test(case.name) {
                val queue = queue(8, 8, 8, 8, 8, 8, 8, 8)
                repeat(case.online) { queue.submit(request(it.toLong()), nowMillis = 0) }
                val decisions = List(64) { queue.submit(request(100L + it, case.use), nowMillis = 0) }
                decisions.count { it is SlotDecision.Granted } shouldBe case.granted
            }
        }

        test("one batch item is preempted for each waiting online request, the one with the most time left first") {
            val queue = queue(4)
            listOf(5_000L, 9_000L, 7_000L).forEachIndexed { index, due ->
                queue.submit(request(index.toLong(), SlotUse.BATCH, onTimeUntilMillis = due), nowMillis = 0)
            }
            queue.submit(request(3, SlotUse.URGENT_BATCH, onTimeUntilMillis = 99_000), nowMillis = 0)
            queue.submit(request(10), nowMillis = 0) shouldBe SlotDecision.Queued
            queue.submit(request(11), nowMillis = 0) shouldBe SlotDecision.Queued
            queue.selectPreemptions(nowMillis = 0).map { it.number } shouldBe listOf(1L, 2L)
            queue.selectPreemptions(nowMillis = 10) shouldBe emptyList()
            queue.release(SlotKey("node", 1))
            queue.dispatch(nowMillis = 10).single().key.number shouldBe 10
        }

        data class PreemptionCase(val name: String, val startsAndDues: List<Pair<Long, Long>>, val expected: Long)
        listOf(
            PreemptionCase("the item that has run for the shortest time", listOf(0L to 90_000L, 2_000L to 60_000L), 1),
            PreemptionCase("rather one that can run again and be on time", listOf(0L to 90_000L, 2_000L to 6_000L), 0),
            PreemptionCase("one that would be late if there is no other", listOf(0L to 5_500L, 2_000L to 6_000L), 1),
        ).forEach { case ->
            test("an online request preempts ${case.name}") {
                val queue = queue(case.startsAndDues.size)
                case.startsAndDues.forEachIndexed { index, (start, due) ->
                    queue.submit(request(index.toLong(), SlotUse.BATCH, onTimeUntilMillis = due), start)
                }
                queue.submit(request(9), nowMillis = 3_000)
                queue.selectPreemptions(nowMillis = 3_000).map { it.number } shouldBe listOf(case.expected)
            }
        }

        test("another batch item is preempted when a node does not give up its slot") {
            val queue = queue(2)
            queue.submit(request(1, SlotUse.BATCH, onTimeUntilMillis = 9_000), nowMillis = 0)
            queue.submit(request(2, SlotUse.URGENT_BATCH), nowMillis = 0)
            queue.release(SlotKey("node", 2))
            queue.submit(request(3), nowMillis = 0)
            queue.submit(request(4), nowMillis = 0)
            queue.selectPreemptions(nowMillis = 0).map { it.number } shouldBe listOf(1L)
            queue.selectPreemptions(nowMillis = 500) shouldBe emptyList()
        }

        test("a request to a service without usable workers is refused without waiting") {
            queue().submit(request(1), nowMillis = 0) shouldBe SlotDecision.NoWorker
            queue(1).submit(request(1, excluded = setOf("w0")), nowMillis = 0) shouldBe SlotDecision.NoWorker
        }

        test("a request that stops waiting does not occupy a slot") {
            val queue = queue(1)
            queue.submit(request(1), nowMillis = 0)
            queue.submit(request(2), nowMillis = 0)
            queue.release(SlotKey("node", 2))
            queue.release(SlotKey("node", 1))
            queue.dispatch(nowMillis = 0) shouldBe emptyList()
            queue.capacity(nowMillis = 0).free shouldBe 1
        }

        test("slots of a worker that has restarted under its id are not released twice") {
            val balancer = LoadBalancer("here") { 0.0 }.apply { update(listOf(worker("w", 2))) }
            val queue = SlotQueue("s", balancer)
            queue.submit(request(1), nowMillis = 0)
            balancer.update(listOf(worker("w", 2).copy(startedMillis = 2)))
            queue.release(SlotKey("node", 1))
            queue.capacity(nowMillis = 0).free shouldBe 2
        }
    })
