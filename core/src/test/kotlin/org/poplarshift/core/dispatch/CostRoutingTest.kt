package org.poplarshift.core.dispatch

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.doubles.shouldBeBetween
import io.kotest.matchers.shouldBe

/** Guards against long queues of work at slow, busy or full workers while others would end a request earlier. */
class CostRoutingTest :
    FunSpec({
        val size = RequestSize(promptTokens = 400, maximumOutputTokens = 400, expectedOutputTokens = 200)
        val parts = listOf(PromptPart("system", 200), PromptPart("tools", 150), PromptPart("own", 50))

        class Fixture(
            workers: Int = 2,
            slots: Int = 8,
            isShared: Boolean = false,
            memoryTokens: Long? = null,
            routing: WorkerRouting = WorkerRouting.COST,
            private val random: () -> Double = { 0.0 },
        ) {
            val entries = List(workers) {
                FleetWorker("w$it", "s", "10.0.0.1:80", "here", slots, isDraining = false, startedMillis = 1)
            }
            val balancer = LoadBalancer("here", routing = routing, isShared = isShared, memoryTokens = {
                memoryTokens
            }) {
                random()
            }.apply { update(entries) }
            val queue = SlotQueue("s", balancer)
            private var number = 0L

            fun request(size: RequestSize?, route: String = "r", excluded: Set<String> = emptySet()) =
                SlotRequest(SlotKey("n", ++number), SlotUse.ONLINE, 0, 1_000, excluded, route = route, size = size)

            /** Assigns a request and returns its key and its worker. */
            fun assign(request: SlotRequest, now: Long = 0): Pair<SlotKey, String?> =
                request.key to (queue.submit(request, now) as? SlotDecision.Granted)?.worker

            /** Runs a request alone at [worker] with [millisPerEvent]. */
            fun observe(
                worker: String,
                startMillis: Long,
                millisPerEvent: Double,
                events: Int = 200,
                size: RequestSize?,
            ) {
                val excluded = entries.map { it.id }.toSet() - worker
                val (key, _) = assign(request(size, excluded = excluded), startMillis)
                val runMillis = (events * millisPerEvent).toLong()
                balancer.costs.onObserved(key, RunObservation(10, runMillis, events), startMillis + runMillis)
                queue.release(key)
            }
        }

        test("without samples, requests spread by their number") {
            val fixture = Fixture(workers = 3)
            val chosen = List(6) { fixture.assign(fixture.request(size)).second }
            chosen.groupingBy { it }.eachCount().values.toSet() shouldBe setOf(2)
        }

        test("a worker with a short rest of work is preferred to one with a long rest and as many requests") {
            val fixture = Fixture()
            fixture.assign(fixture.request(size.copy(maximumOutputTokens = 2_000, expectedOutputTokens = 1_400)))
            fixture.assign(fixture.request(size.copy(expectedOutputTokens = 50)))
            fixture.assign(fixture.request(size)).second shouldBe "w1"
        }

        test("the speed of workers is learned from their runs and forgotten with the worker") {
            val fixture = Fixture()
            repeat(10) { fixture.observe("w0", it * 2_000L, millisPerEvent = 5.3, size = size) }
            repeat(10) { fixture.observe("w1", 20_000 + it * 2_000L, millisPerEvent = 2.4, size = size) }
            fun speed(id: String) =
                fixture.balancer.costs.model.speed(checkNotNull(fixture.balancer.state(id)).work, nowMillis = 40_000)
            speed("w0").shouldBeBetween(0.50, 0.62, 0.0)
            speed("w1").shouldBeBetween(1.1, 1.35, 0.0)
            repeat(4) { fixture.assign(fixture.request(size), now = 40_000).second shouldBe "w1" }
            val restarted = fixture.entries.map { it.copy(startedMillis = 2) }
            fixture.balancer.update(restarted)
            speed("w0") shouldBe speed("w1")
        }

        listOf(
            "a run of no time" to RunObservation(0, runMillis = 0, outputTokens = 200),
            "a run longer than the slot was held" to RunObservation(0, runMillis = 60_000, outputTokens = 200),
            "one run that seems to be very fast" to RunObservation(0, runMillis = 580, outputTokens = 1_000_000),
            "negative times" to RunObservation(-5, runMillis = -5, outputTokens = -5),
        ).forEach { (name, observation) ->
            test("a wrong sample changes the speed of a worker by at most a half: $name") {
                val fixture = Fixture(workers = 1)
                val (key, _) = fixture.assign(fixture.request(size))
                fixture.balancer.costs.onObserved(key, observation, nowMillis = 600)
                val work = checkNotNull(fixture.balancer.state("w0")).work
                fixture.balancer.costs.model.speed(work, nowMillis = 600).shouldBeBetween(0.66, 1.5, 0.0)
                work.runs shouldBe 0
            }
        }

        data class HintCase(val name: String, val hint: (Int) -> Int?, val tolerance: Double)
        listOf(
            HintCase("none", { null }, tolerance = 0.6),
            HintCase("exact", { it }, tolerance = 0.1),
            HintCase("ten times too long", { it * 10 }, tolerance = 0.15),
            HintCase("unrelated", { 37 + it * 7_919 % 1_000 }, tolerance = 0.7),
        ).forEach { case ->
            test("the length of outputs is learned for hints that are ${case.name}") {
                val fixture = Fixture(workers = 1)
                val lengths = List(60) { 60 + it * 37 % 100 }
                val errors = lengths.mapIndexed { index, length ->
                    val hinted = size.copy(maximumOutputTokens = 20_000, expectedOutputTokens = case.hint(length))
                    val expected = fixture.balancer.costs.of(
                        fixture.request(hinted),
                        nowMillis = index * 1_000L,
                    ).outputSteps
                    fixture.observe("w0", index * 1_000L, millisPerEvent = 2.9, events = length, size = hinted)
                    kotlin.math.abs(kotlin.math.ln(expected / length))
                }
                errors.takeLast(20).average() shouldBeLessThan case.tolerance
            }
        }

        test("a request goes to the worker that has its prompt parts, unless that costs more than reading them") {
            val fixture = Fixture()
            val first = fixture.assign(fixture.request(size.copy(parts = parts))).second
            fixture.assign(fixture.request(size)).second shouldBe "w1"
            fixture.queue.release(SlotKey("n", 1))
            fixture.queue.release(SlotKey("n", 2))
            val again = size.copy(parts = parts.dropLast(1) + PromptPart("other", 50))
            fixture.assign(fixture.request(again)).second shouldBe first
            // One more request delays itself and the other by more than the four milliseconds of reading.
            fixture.assign(fixture.request(again)).second shouldBe "w1"
        }

        test("a part behind another part is not taken for cached") {
            val fixture = Fixture()
            fixture.assign(fixture.request(size.copy(parts = parts)))
            val reordered = size.copy(parts = listOf(parts[1], parts[0], parts[2]))
            val request = fixture.request(reordered)
            val candidates = fixture.balancer.explain("n", "s", request, nowMillis = 0).candidates
            candidates.map { it.cachedTokens } shouldBe listOf(0, 0)
        }

        test("a worker that states to be slow is avoided for 600 ms") {
            val fixture = Fixture()
            val work = checkNotNull(fixture.balancer.state("w0")).work
            fixture.balancer.state("w0")?.let { fixture.balancer.state("w1")?.onSent(isBatch = false) }
            work.onSlowness(250, nowMillis = 0) shouldBe true
            work.onSlowness(240, nowMillis = 100) shouldBe false
            fixture.assign(fixture.request(size), now = 100).second shouldBe "w1"
            fixture.queue.release(SlotKey("n", 1))
            fixture.assign(fixture.request(size), now = 700).second shouldBe "w0"
            work.onSlowness(110, nowMillis = 710) shouldBe false
        }

        listOf(null to "w0", 1_700L to "w0", 1_500L to null).forEach { (memory, expected) ->
            test("with room for $memory tokens, a second request of 800 tokens gets $expected") {
                val fixture = Fixture(workers = 1, memoryTokens = memory)
                fixture.assign(fixture.request(size)).second shouldBe "w0"
                fixture.assign(fixture.request(size)).second shouldBe expected
            }
        }

        test("a new scheduler knows the work of the slots that nodes state") {
            val fixture = Fixture()
            val scheduler = SlotScheduler("s", fixture.balancer, ZoneCapacities())
            val connection = object : SlotScheduler.NodeConnection {
                val received = ArrayList<SchedulerMessage>()

                override fun send(message: SchedulerMessage) {
                    received += message
                }

                override fun close() = Unit
            }
            val long = size.copy(maximumOutputTokens = 2_000, expectedOutputTokens = 1_400)
            val held = listOf(
                HeldSlot(1, SlotUse.BATCH, "w0", 9_000, "r", long, usedMillis = 100),
                HeldSlot(2, SlotUse.ONLINE, "w1", 900, "r", size, usedMillis = 500),
            )
            scheduler.onConnected(NodeMessage.Hello("n", held), nowMillis = 0, connection)
            scheduler.onMessage("n", NodeMessage.Acquire(3, SlotUse.ONLINE, 0, 300, route = "r", size = size), 0)
            connection.received.last() shouldBe SchedulerMessage.Granted(3, "w1")
            scheduler.onMessage("n", NodeMessage.Release(1), 10)
            checkNotNull(fixture.balancer.state("w0")).work.runs shouldBe 0
        }

        test("fifty nodes that choose by themselves do not all choose the same worker") {
            val random = kotlin.random.Random(7)
            val chosen = List(50) {
                val node = Fixture(workers = 20, isShared = true) { random.nextDouble() }
                // The one worker that every node knows to be the fastest.
                repeat(4) { node.observe("w3", it * 1_000L, millisPerEvent = 2.2, size = size) }
                node.assign(node.request(size), now = 5_000).second
            }
            (chosen.count { it == "w3" } <= 20) shouldBe true
        }
    })
