package org.poplarshift.core.dispatch

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.shouldBe

/**
 * Guards against requests that wait although they can't get a slot in time, against refusals of requests that could get
 * one, and against callers that all return at the same time.
 */
class SlotRefusalTest :
    FunSpec({
        /** A full worker with one slot, of [RUN_MILLIS] a run, and [QUEUED] requests of one organisation that wait. */
        class Fixture(earlierRuns: Long) {
            val capacities = ZoneCapacities()
            val balancer = LoadBalancer("here") { 0.0 }.apply {
                update(listOf(FleetWorker("w", "s", "10.0.0.1:80", "here", 1, isDraining = false, startedMillis = 1)))
            }
            val scheduler = SlotScheduler("s", balancer, capacities)
            val received = ArrayList<SchedulerMessage>()
            var now = 0L

            init {
                val connection = object : SlotScheduler.NodeConnection {
                    override fun send(message: SchedulerMessage) {
                        received += message
                    }

                    override fun close() = error("the connection was closed")
                }
                scheduler.onConnected(NodeMessage.Hello("n", emptyList()), now, connection)
                repeat(earlierRuns.toInt()) {
                    acquire(acquire(1))
                    now += RUN_MILLIS
                    scheduler.onMessage("n", NodeMessage.Release(1), now)
                }
                (0..QUEUED).forEach { acquire(acquire(100 + it).copy(waitInMillis = null)) }
            }

            fun acquire(message: NodeMessage.Acquire): SchedulerMessage {
                scheduler.onMessage("n", message, now)
                return received.last()
            }
        }

        val roomElsewhere = ServiceCapacity(workers = 1, free = 1, spare = 1, preemptible = 0, waiting = 0)

        data class Case(
            val name: String,
            val request: NodeMessage.Acquire,
            val isRefused: Boolean = false,
            val earlierRuns: Long = 20,
            val hasRoomElsewhere: Boolean = false,
        )
        listOf(
            Case("a request that can't get a slot in time is refused", acquire(1), isRefused = true),
            Case("a request that can wait for longer waits", acquire(1).copy(waitInMillis = 5_000)),
            Case("a request of an older node, which states no time, waits", acquire(1).copy(waitInMillis = null)),
            Case("a request with a higher priority waits", acquire(1).copy(priority = 0)),
            Case("a request of an organisation without waiting requests waits", acquire(1).copy(organisation = "b")),
            Case("a batch item waits at its node", acquire(1).copy(use = SlotUse.BATCH)),
            Case("an urgent batch item waits as well", acquire(1).copy(use = SlotUse.URGENT_BATCH)),
            Case("without experience no request is refused", acquire(1), earlierRuns = 0),
            Case("a slot elsewhere keeps a request that was redirected here", acquire(1), hasRoomElsewhere = true),
        ).forEach { case ->
            test(case.name) {
                val fixture = Fixture(case.earlierRuns)
                if (case.hasRoomElsewhere) {
                    fixture.capacities.onAnnouncement("there", roomElsewhere, fixture.now)
                }
                val answer = fixture.acquire(case.request)
                (answer is SchedulerMessage.Refused) shouldBe case.isRefused
                if (!case.isRefused) answer shouldBe SchedulerMessage.Queued(1)
            }
        }

        test("refused requests no longer wait, and their callers return over the time that the queue needs") {
            val fixture = Fixture(earlierRuns = 20)
            val retryMillis = (1L..8).map { (fixture.acquire(acquire(it)) as SchedulerMessage.Refused).retryMillis }
            retryMillis.forEach { it shouldBeInRange 1_000L..3_200L }
            retryMillis.map { (it - 1_000) / 550 }.distinct().sorted() shouldContainExactly listOf(0L, 1, 2, 3)
            fixture.scheduler.statistics(fixture.now) shouldBe
                SlotQueueStatistics(1, longestWaitMillis = 0, refusals = 8)
            fixture.scheduler.capacity(fixture.now).waiting shouldBe QUEUED
        }

        test("a request is not refused while another one that waits excludes the worker with a free slot") {
            val fixture = Fixture(earlierRuns = 20)
            fixture.balancer.update(
                fixture.balancer.workers + FleetWorker("v", "s", "10.0.0.2:80", "here", 1, false, startedMillis = 1),
            )
            fixture.acquire(acquire(1)) shouldBe SchedulerMessage.Granted(100 + 1L, "v")
        }
    }) {
    private companion object {
        const val RUN_MILLIS = 100L

        // They need twice the time for which a request waits.
        const val QUEUED = 20

        fun acquire(number: Long) = NodeMessage.Acquire(
            number,
            SlotUse.ONLINE,
            priority = 1,
            onTimeInMillis = 300,
            mayRedirect = false,
            organisation = "a",
            waitInMillis = 1_000,
        )

        fun acquire(number: Int) = acquire(number.toLong())
    }
}
