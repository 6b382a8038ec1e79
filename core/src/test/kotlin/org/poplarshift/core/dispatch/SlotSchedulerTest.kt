package org.poplarshift.core.dispatch

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

/**
 * Guards against slots that stay occupied for nodes that are gone, against a new scheduler that hands out slots which
 * are in use, and against requests that wait in a full zone while another zone has free slots.
 */
class SlotSchedulerTest :
    FunSpec({
        class Connection : SlotScheduler.NodeConnection {
            val received = ArrayList<SchedulerMessage>()
            var isClosed = false

            override fun send(message: SchedulerMessage) {
                received += message
            }

            override fun close() {
                isClosed = true
            }
        }

        class Fixture(workers: Int = 1, slots: Int = 1) {
            val capacities = ZoneCapacities()
            val balancer = LoadBalancer("here") { 0.0 }.apply {
                update(
                    List(workers) {
                        FleetWorker("w$it", "s", "10.0.0.1:80", "here", slots, isDraining = false, startedMillis = 1)
                    },
                )
            }
            val scheduler = SlotScheduler("s", balancer, capacities)

            fun connect(node: String, vararg held: HeldSlot): Connection =
                Connection().also { scheduler.onConnected(NodeMessage.Hello(node, held.toList()), nowMillis = 0, it) }

            fun acquire(node: String, number: Long, use: SlotUse = SlotUse.ONLINE, nowMillis: Long = 0) =
                scheduler.onMessage(node, NodeMessage.Acquire(number, use, priority = 0, 300), nowMillis)

            fun release(node: String, number: Long, outcome: SlotOutcome = SlotOutcome.USED, nowMillis: Long = 0) =
                scheduler.onMessage(node, NodeMessage.Release(number, outcome), nowMillis)
        }

        val roomElsewhere = ServiceCapacity(workers = 1, free = 1, spare = 1, preemptible = 0, waiting = 0)

        test("a released slot goes to the request that waits longest, of any node") {
            val fixture = Fixture()
            val first = fixture.connect("a")
            val second = fixture.connect("b")
            fixture.acquire("a", 1)
            fixture.acquire("b", 1)
            fixture.acquire("a", 2)
            fixture.release("a", 1)
            first.received shouldBe listOf(SchedulerMessage.Granted(1, "w0"), SchedulerMessage.Queued(2))
            second.received shouldBe listOf(SchedulerMessage.Queued(1), SchedulerMessage.Granted(1, "w0"))
        }

        test("a new scheduler counts the slots that connecting nodes already use") {
            val fixture = Fixture()
            val connection = fixture.connect("a", HeldSlot(7, SlotUse.ONLINE, "w0", 300))
            fixture.acquire("a", 8)
            connection.received.last() shouldBe SchedulerMessage.Queued(8)
            fixture.release("a", 7)
            connection.received.last() shouldBe SchedulerMessage.Granted(8, "w0")
        }

        test("a request that excludes a zone is neither served there nor redirected there") {
            val fixture = Fixture()
            val connection = fixture.connect("a")
            fun ask(number: Long, vararg excludedZones: String) = fixture.scheduler.onMessage(
                "a",
                NodeMessage.Acquire(number, SlotUse.ONLINE, 0, 300, excludedZones = excludedZones.toSet()),
                nowMillis = 0,
            )
            listOf("there", "far").forEach { fixture.capacities.onAnnouncement(it, roomElsewhere, nowMillis = 0) }
            ask(1, "here", "far")
            ask(2, "here", "far", "there")
            ask(3)
            ask(4, "far", "there")
            fixture.scheduler.update(nowMillis = 0)
            connection.received shouldBe listOf(
                SchedulerMessage.Redirected(1, "there"),
                SchedulerMessage.NoWorker(2),
                SchedulerMessage.Granted(3, "w0"),
                SchedulerMessage.Queued(4),
            )
        }

        test("requests that wait when their zone is evacuated are redirected, and runs go on") {
            val fixture = Fixture()
            val connection = fixture.connect("a")
            fixture.acquire("a", 1)
            fixture.acquire("a", 2)
            val full = ServiceCapacity(workers = 1, free = 0, spare = 0, preemptible = 0, waiting = 5)
            fixture.capacities.onAnnouncement("there", full, nowMillis = 0)
            fixture.balancer.evacuate(setOf("here"), nowMillis = 0)
            fixture.scheduler.update(nowMillis = 0)
            connection.received.last() shouldBe SchedulerMessage.Redirected(2, "there")
            fixture.scheduler.capacity(nowMillis = 0).workers shouldBe 0
            fixture.balancer.state("w0")?.online shouldBe 1
        }

        // A worker's word was known only to the node that had read it.
        test("a worker that leaves is told to all nodes, also to those that connect later, until it has restarted") {
            val fixture = Fixture(workers = 2)
            val leaving = WorkerIncarnation("w0", startedMillis = 1)
            val told = SchedulerMessage.Leaving(listOf(leaving))
            val first = fixture.connect("a")
            val second = fixture.connect("b")
            repeat(2) { fixture.scheduler.onMessage("a", NodeMessage.Leaving(leaving), nowMillis = 0) }
            val third = fixture.connect("c")
            listOf(first, second, third).forEach { it.received shouldBe listOf(told) }
            fixture.acquire("b", 1)
            second.received.last() shouldBe SchedulerMessage.Granted(1, "w1")
            val workers = fixture.balancer.workers
            fixture.balancer.update(workers.map { if (it.id == "w0") it.copy(startedMillis = 2) else it })
            fixture.acquire("b", 2)
            second.received.last() shouldBe SchedulerMessage.Granted(2, "w0")
            fixture.connect("d").received shouldBe emptyList()
        }

        test("a new scheduler knows the leaving workers that connecting nodes state, before it has read of them") {
            val fixture = Fixture(workers = 0)
            val stated = listOf(WorkerIncarnation("w0", startedMillis = 2))
            val connection = Connection()
            fixture.scheduler.onConnected(
                NodeMessage.Hello("a", emptyList(), leaving = stated),
                nowMillis = 0,
                connection,
            )
            val workers = List(2) {
                FleetWorker("w$it", "s", "10.0.0.1:80", "here", 1, isDraining = false, startedMillis = 2)
            }
            fixture.balancer.update(workers)
            fixture.acquire("a", 1)
            connection.received.last() shouldBe SchedulerMessage.Granted(1, "w1")
            fixture.scheduler.leaving shouldBe stated
        }

        test("slots of a silent node are freed, and it is told to connect again") {
            val fixture = Fixture()
            val silent = fixture.connect("silent")
            fixture.acquire("silent", 1)
            val connection = fixture.connect("b")
            fixture.acquire("b", 1, nowMillis = 3_000)
            fixture.scheduler.update(nowMillis = 3_100)
            connection.received.last() shouldBe SchedulerMessage.Queued(1)
            fixture.scheduler.update(nowMillis = 4_000)
            connection.received.last() shouldBe SchedulerMessage.Granted(1, "w0")
            silent.isClosed shouldBe true
        }

        test("a node without slots stays connected although it is silent") {
            val fixture = Fixture()
            val idle = fixture.connect("idle")
            fixture.scheduler.update(nowMillis = 60_000)
            idle.isClosed shouldBe false
            fixture.acquire("idle", 1, nowMillis = 60_000)
            idle.received shouldBe listOf(SchedulerMessage.Granted(1, "w0"))
        }

        test("requests of a lost connection no longer wait") {
            val fixture = Fixture()
            val other = fixture.connect("a")
            val lost = fixture.connect("b")
            fixture.acquire("a", 1)
            fixture.acquire("b", 1)
            fixture.acquire("a", 2)
            fixture.scheduler.onDisconnected("b", lost)
            fixture.release("a", 1)
            other.received.last() shouldBe SchedulerMessage.Granted(2, "w0")
        }

        test("a request is redirected when the zone is full and another one has room") {
            val fixture = Fixture()
            val connection = fixture.connect("a")
            fixture.acquire("a", 1)
            fixture.capacities.onAnnouncement("there", roomElsewhere, nowMillis = 0)
            fixture.acquire("a", 2)
            fixture.acquire("a", 3)
            connection.received.drop(1) shouldBe
                listOf(SchedulerMessage.Redirected(2, "there"), SchedulerMessage.Queued(3))
        }

        test("a waiting request is redirected when another zone gets room later") {
            val fixture = Fixture()
            val connection = fixture.connect("a")
            fixture.acquire("a", 1)
            fixture.acquire("a", 2)
            fixture.capacities.onAnnouncement("there", roomElsewhere, nowMillis = 0)
            fixture.scheduler.update(nowMillis = 10)
            connection.received.last() shouldBe SchedulerMessage.Redirected(2, "there")
        }

        test("a zone that announces nothing any more gets no requests") {
            val fixture = Fixture()
            val connection = fixture.connect("a")
            fixture.capacities.onAnnouncement("there", roomElsewhere, nowMillis = 0)
            fixture.acquire("a", 1, nowMillis = 2_000)
            fixture.acquire("a", 2, nowMillis = 2_000)
            connection.received.last() shouldBe SchedulerMessage.Queued(2)
        }

        test("an online request preempts a batch item instead of waiting for its end") {
            val fixture = Fixture(slots = 2)
            val connection = fixture.connect("a")
            fixture.acquire("a", 1, SlotUse.BATCH)
            fixture.acquire("a", 2)
            fixture.acquire("a", 3)
            connection.received.drop(2) shouldBe
                listOf(SchedulerMessage.Queued(3), SchedulerMessage.Preempted(1))
        }

        data class EjectionCase(
            val name: String,
            val workers: Int,
            val reports: List<Pair<String, SlotOutcome>>,
            val isEjected: Boolean,
        )
        listOf(
            EjectionCase(
                "a worker that two nodes can't reach gets no requests",
                workers = 3,
                listOf("a" to SlotOutcome.UNREACHABLE, "b" to SlotOutcome.UNREACHABLE),
                isEjected = true,
            ),
            EjectionCase(
                "the failed connections of one node do not eject a worker",
                workers = 3,
                listOf("a" to SlotOutcome.UNREACHABLE, "a" to SlotOutcome.UNREACHABLE),
                isEjected = false,
            ),
            EjectionCase(
                "a worker that served a request in between is not ejected",
                workers = 3,
                listOf("a" to SlotOutcome.UNREACHABLE, "c" to SlotOutcome.USED, "b" to SlotOutcome.UNREACHABLE),
                isEjected = false,
            ),
            EjectionCase(
                "the last worker is not ejected",
                workers = 1,
                listOf("a" to SlotOutcome.UNREACHABLE, "b" to SlotOutcome.UNREACHABLE),
                isEjected = false,
            ),
        ).forEach { case ->
            test(case.name) {
                val fixture = Fixture(case.workers, slots = 8)
                listOf("a", "b", "c").forEach { fixture.connect(it) }
                case.reports.forEachIndexed { index, (node, outcome) ->
                    fixture.connect(node, HeldSlot(100L + index, SlotUse.ONLINE, "w0", 300))
                    fixture.release(node, 100L + index, outcome)
                }
                fixture.balancer.state("w0")?.isSuspect shouldBe case.isEjected
                fixture.scheduler.update(nowMillis = 1_500)
                fixture.balancer.state("w0")?.isSuspect shouldBe false
            }
        }
    })
