package org.poplarshift.core.admission

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

/** Guards against unfair order, unbounded queues, and requests that block others that have a free worker. */
class FairQueueTest :
    FunSpec({
        fun request(name: String, cost: Long = 100, weight: Double = 1.0, isConstrained: Boolean = false) =
            QueuedRequest(
                name.take(1),
                weight,
                cost,
                deadlineMillis = 1_000,
                payload = name,
                isConstrained = isConstrained,
            )

        fun FairQueue<String>.drain(): List<String> = generateSequence {
            poll { TakeResult.TAKEN }
        }.map { it.payload }.toList()

        data class Case(val name: String, val offered: List<QueuedRequest<String>>, val expected: List<String>)
        listOf(
            Case(
                "organisations with equal weights alternate",
                listOf(request("a1"), request("a2"), request("a3"), request("b1"), request("b2")),
                listOf("a1", "b1", "a2", "b2", "a3"),
            ),
            Case(
                "an organisation with weight 2 receives twice the service",
                (1..2).map { request("a$it") } + (1..4).map { request("b$it", weight = 2.0) },
                listOf("a1", "b1", "b2", "a2", "b3", "b4"),
            ),
            Case(
                "a request with double cost is charged twice",
                listOf(request("a1", cost = 200), request("a2"), request("b1"), request("b2"), request("b3")),
                listOf("a1", "b1", "b2", "a2", "b3"),
            ),
        ).forEach { case ->
            test(case.name) {
                val queue = FairQueue<String>(maximumLength = 10)
                case.offered.forEach { queue.offer(it) }
                queue.drain() shouldBe case.expected
            }
        }

        test("an idle organisation accumulates no credit") {
            val queue = FairQueue<String>(maximumLength = 20)
            (1..4).forEach { queue.offer(request("a$it")) }
            queue.drain()
            (5..7).forEach { queue.offer(request("a$it")) }
            (1..3).forEach { queue.offer(request("b$it")) }
            queue.drain().take(4).count { it.startsWith("b") } shouldBe 2
        }

        test("a full queue evicts from the longest backlog, and a flood does not evict requests of others") {
            val queue = FairQueue<String>(maximumLength = 3)
            (1..3).forEach { queue.offer(request("a$it")) }
            queue.offer(request("a4")) shouldBe OfferResult.Full
            (queue.offer(request("b1")) as OfferResult.QueuedAfterEviction).evicted.payload shouldBe "a3"
            queue.offer(request("a5")) shouldBe OfferResult.Full
            queue.drain() shouldBe listOf("a1", "b1", "a2")
        }

        test("others overtake a constrained request that no free worker may run, but not an unconstrained one") {
            val queue = FairQueue<String>(maximumLength = 5)
            queue.offer(request("a1", isConstrained = true))
            queue.offer(request("b1"))
            queue.poll { if (it.isConstrained) TakeResult.BLOCKED else TakeResult.TAKEN }?.payload shouldBe "b1"
            queue.poll { TakeResult.FULL } shouldBe null
            queue.size shouldBe 1
        }

        test("expired requests are removed and not charged to their organisation") {
            val queue = FairQueue<String>(maximumLength = 5)
            queue.offer(request("a1", cost = 1_000))
            queue.expire(999) shouldBe emptyList()
            queue.expire(1_000).map { it.payload } shouldBe listOf("a1")
            queue.offer(request("a2"))
            queue.offer(request("b1"))
            queue.drain() shouldBe listOf("a2", "b1")
        }

        test("batch items are not dispatched while an online request waits") {
            val queues = AdmissionQueues<String>(onlineLength = 5, batchLength = 5)
            queues.batch.offer(request("a1"))
            queues.online.offer(request("b1"))
            queues.pollBatch { TakeResult.TAKEN } shouldBe null
            queues.pollOnline { TakeResult.TAKEN }?.payload shouldBe "b1"
            queues.pollBatch { TakeResult.TAKEN }?.payload shouldBe "a1"
        }
    })
