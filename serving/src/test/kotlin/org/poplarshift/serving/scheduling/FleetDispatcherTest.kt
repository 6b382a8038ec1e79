package org.poplarshift.serving.scheduling

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import org.poplarshift.core.dispatch.FleetWorker
import org.poplarshift.core.dispatch.LoadBalancer
import org.poplarshift.core.dispatch.NodeMessage
import org.poplarshift.core.dispatch.SchedulerMessage
import org.poplarshift.core.dispatch.SlotOutcome
import org.poplarshift.core.dispatch.SlotUse
import org.poplarshift.core.stream.VersionRequirement
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.serving.fixture.FakeLog
import org.poplarshift.serving.fixture.TestTasks
import org.poplarshift.serving.fleet.FleetMember
import org.poplarshift.serving.fleet.FleetMembers
import org.poplarshift.serving.forward.DispatchRequest
import org.poplarshift.serving.forward.DispatchResult
import org.poplarshift.serving.log.LogRecord
import org.poplarshift.serving.peer.PeerReachability
import org.poplarshift.serving.ratelimit.FakeTokenSources
import org.poplarshift.serving.ratelimit.RateLimitCounters
import org.poplarshift.serving.ratelimit.RateLimiter

/**
 * Guards against requests that wait for a scheduler which is gone, silent or cut off, and against slots that a node
 * holds at the scheduler although it does not use them.
 */
@OptIn(ExperimentalCoroutinesApi::class)
class FleetDispatcherTest :
    FunSpec({
        /** Records the messages of one connection and answers each request as the test has set. */
        class Connection(private val receiver: SchedulerReceiver, val member: String) : SchedulerChannel {
            val sent = ArrayList<NodeMessage>()
            var answer: (NodeMessage.Acquire) -> SchedulerMessage? = { SchedulerMessage.Granted(it.number, "w0") }

            override fun send(message: NodeMessage) {
                sent += message
                if (message is NodeMessage.Acquire) answer(message)?.let { receiver.onMessage(it) }
            }

            override fun close() = Unit

            fun receive(message: SchedulerMessage) = receiver.onMessage(message)

            fun lose() = receiver.onClosed()
        }

        fun tokenGate(scope: TestScope, clock: MonotonicClock): TokenGate {
            val tasks = TestTasks.of(scope.backgroundScope)
            val limiter =
                RateLimiter(tasks, clock, FakeTokenSources(1).of(0), RateLimitCounters(SimpleMeterRegistry()))
            return TokenGate(tasks, clock, limiter)
        }

        class Fixture(val scope: TestScope, vararg others: String) {
            val clock = MonotonicClock { scope.testScheduler.currentTime }
            val connections = ArrayList<Connection>()
            val unreachable = HashSet<String>()
            var connectMillis = 0L
            var answer: (NodeMessage.Acquire) -> SchedulerMessage? = { SchedulerMessage.Granted(it.number, "w0") }
            private val self = FleetMember("self", "here", "10.0.0.1:1", speed = 0.1)
            private val members = FleetMembers(FakeLog(), clock, "members", self)
            val workers = LoadBalancer("here", rateShare = { 1.0 / members.size }) { 0.0 }.apply {
                update(
                    List(2) {
                        FleetWorker("w$it", "s", "10.0.0.1:80", "here", 1, isDraining = false, startedMillis = 1)
                    },
                )
            }
            private val directory = SchedulerDirectory(self, members)
            private val connector = SchedulerConnector { member, _, hello, receiver ->
                delay(connectMillis)
                if (member.name in unreachable) {
                    null
                } else {
                    Connection(receiver, member.name).also {
                        it.answer = { request -> answer(request) }
                        it.send(hello)
                        connections += it
                    }
                }
            }
            val dispatcher =
                FleetDispatcher(
                    TestTasks.of(scope.backgroundScope),
                    clock,
                    self,
                    workers,
                    directory,
                    PeerReachability(clock),
                    connector,
                    tokenGate(scope, clock),
                    isRecorded = { _, softwareVersion -> softwareVersion == "old" },
                )

            init {
                others.forEach {
                    val value = """{"name":"$it","zone":"${it.substringBefore('-')}","peerAddress":"10.0.0.1:1"}"""
                    members.onRecord(LogRecord(0, it, value.encodeToByteArray()))
                }
                scope.backgroundScope.launch { dispatcher.run() }
            }

            suspend fun acquire(
                use: SlotUse = SlotUse.ONLINE,
                versions: VersionRequirement = VersionRequirement.Any,
                onPreempt: () -> Unit = {},
            ): DispatchResult = dispatcher.acquire(
                DispatchRequest("s", priority = 0, waitMillis = 1_000, use, onPreempt = onPreempt, versions = versions),
            )

            fun register(versions: Map<String, String>) = workers.update(
                versions.map { (id, version) ->
                    FleetWorker(id, "s", "10.0.0.1:80", "here", 1, false, startedMillis = 1, softwareVersion = version)
                },
            )
        }

        fun DispatchResult.worker() = shouldBeInstanceOf<DispatchResult.Assigned>().slot.target.worker.id

        test("the slot that the scheduler grants is used and released there") {
            runTest {
                val fixture = Fixture(this, "here-1")
                fixture.answer = { SchedulerMessage.Granted(it.number, "w1") }
                val slot = fixture.acquire().shouldBeInstanceOf<DispatchResult.Assigned>().slot
                slot.target.worker.id shouldBe "w1"
                slot.target.online shouldBe 1
                fixture.dispatcher.release(slot, SlotOutcome.FULL)
                slot.target.online shouldBe 0
                fixture.connections.single().sent.last() shouldBe NodeMessage.Release(slot.number, SlotOutcome.FULL)
            }
        }

        data class Failure(val name: String, val arrange: (Fixture) -> Unit, val maximumMillis: Long)
        listOf(
            Failure("can't be reached", { it.unreachable += setOf("here-1", "self") }, maximumMillis = 0),
            Failure("accepts the connection and stays silent", { it.answer = { null } }, maximumMillis = 150),
            Failure(
                "closes the connection",
                { fixture ->
                    fixture.answer = {
                        fixture.connections.last().lose()
                        null
                    }
                },
                maximumMillis = 0,
            ),
        ).forEach { case ->
            test("a node chooses a worker by itself when the scheduler ${case.name}") {
                runTest {
                    val fixture = Fixture(this, "here-1")
                    case.arrange(fixture)
                    val startMillis = testScheduler.currentTime
                    val workers = List(2) { fixture.acquire().worker() }
                    workers.toSet() shouldBe setOf("w0", "w1")
                    (testScheduler.currentTime - startMillis <= 2 * case.maximumMillis) shouldBe true
                }
            }
        }

        test("a node that is cut off waits for one connection attempt, not for one at each candidate") {
            runTest {
                val fixture = Fixture(this, "here-1", "here-2", "here-3")
                fixture.unreachable += setOf("here-1", "here-2", "here-3", "self")
                fixture.connectMillis = 300
                val startMillis = testScheduler.currentTime
                repeat(5) {
                    val slot = fixture.acquire().shouldBeInstanceOf<DispatchResult.Assigned>().slot
                    fixture.dispatcher.release(slot)
                    delay(100)
                }
                // The first request waits 150 ms, the second until the attempt has failed after 300 ms, the others not.
                (testScheduler.currentTime - startMillis) shouldBe 5 * 100 + 150 + 50
            }
        }

        test("the next node runs the scheduler when the first can't be reached") {
            runTest {
                val fixture = Fixture(this, "here-1", "here-2")
                fixture.acquire()
                val first = fixture.connections.single().member
                fixture.unreachable += first
                fixture.connections.single().lose()
                // The first request after the loss finds that the node is gone.
                fixture.acquire()
                fixture.acquire()
                fixture.connections.last().member shouldBe if (first == "here-1") "here-2" else "here-1"
                fixture.connections.last().sent.first().shouldBeInstanceOf<NodeMessage.Hello>().leases.size shouldBe 1
            }
        }

        test("a request waits at the scheduler of the zone that it is redirected to") {
            runTest {
                val fixture = Fixture(this, "here-1", "there-1")
                fixture.answer = {
                    when (fixture.connections.size) {
                        1 -> SchedulerMessage.Redirected(it.number, "there")
                        else -> SchedulerMessage.Granted(it.number, "w1")
                    }
                }
                fixture.acquire().worker() shouldBe "w1"
                fixture.connections.map { it.member } shouldBe listOf("here-1", "there-1")
            }
        }

        test("a request returns to its own zone when the other one can't be reached") {
            runTest {
                val fixture = Fixture(this, "here-1", "there-1")
                fixture.unreachable += "there-1"
                fixture.answer = {
                    if (it.mayRedirect) {
                        SchedulerMessage.Redirected(it.number, "there")
                    } else {
                        SchedulerMessage.Granted(it.number, "w0")
                    }
                }
                fixture.acquire().worker() shouldBe "w0"
            }
        }

        test("a request that is cancelled or waits too long gives its place up") {
            runTest {
                val fixture = Fixture(this, "here-1")
                fixture.answer = { SchedulerMessage.Queued(it.number) }
                fixture.scope.backgroundScope.launch {
                    while (true) {
                        delay(300)
                        fixture.connections.last().receive(SchedulerMessage.Alive)
                    }
                }
                fixture.acquire() shouldBe DispatchResult.NoCapacity()
                val cancelled = launch(start = CoroutineStart.UNDISPATCHED) { fixture.acquire() }
                runCurrent()
                cancelled.cancelAndJoin()
                val releases = fixture.connections.single().sent.filterIsInstance<NodeMessage.Release>()
                releases.map { it.number } shouldBe listOf(1L, 2L)
                fixture.dispatcher.waiting shouldBe 0
            }
        }

        test("a slot that is granted after the request has been cancelled is released") {
            runTest {
                val fixture = Fixture(this, "here-1")
                fixture.answer = { SchedulerMessage.Queued(it.number) }
                val cancelled = launch(start = CoroutineStart.UNDISPATCHED) { fixture.acquire() }
                runCurrent()
                cancelled.cancelAndJoin()
                fixture.connections.single().receive(SchedulerMessage.Granted(1, "w0"))
                fixture.connections.single().sent.count { it is NodeMessage.Release } shouldBe 2
            }
        }

        test("a batch item is told to give up its slot") {
            runTest {
                val fixture = Fixture(this, "here-1")
                var isPreempted = false
                fixture.acquire(SlotUse.BATCH) { isPreempted = true }
                fixture.connections.single().receive(SchedulerMessage.Preempted(1))
                isPreempted shouldBe true
            }
        }

        data class LimitCase(val name: String, val granted: Double?, val stated: Double?, val isReported: Boolean)
        listOf(
            LimitCase("a new limit", granted = null, stated = 3.0, isReported = true),
            LimitCase("a changed limit", granted = 2.0, stated = 3.0, isReported = true),
            LimitCase("the end of a limit", granted = 3.0, stated = null, isReported = true),
            LimitCase("the limit that the scheduler knows", granted = 3.0, stated = 3.0, isReported = false),
            LimitCase("no limit", granted = null, stated = null, isReported = false),
        ).forEach { case ->
            test("${case.name} of a worker is ${if (case.isReported) "" else "not "}reported to the scheduler") {
                runTest {
                    val fixture = Fixture(this, "here-1")
                    fixture.answer = { SchedulerMessage.Granted(it.number, "w0", case.granted) }
                    val slot = fixture.acquire().shouldBeInstanceOf<DispatchResult.Assigned>().slot
                    fixture.dispatcher.onRateLimit(slot, case.stated)
                    fixture.connections.single().sent.filterIsInstance<NodeMessage.RateLimit>() shouldBe
                        if (case.isReported) listOf(NodeMessage.RateLimit("w0", case.stated)) else emptyList()
                }
            }
        }

        test("a new scheduler is told the rate limits that the node knows") {
            runTest {
                val fixture = Fixture(this, "here-1")
                val slot = fixture.acquire().shouldBeInstanceOf<DispatchResult.Assigned>().slot
                fixture.dispatcher.onRateLimit(slot, requestsPerSecond = 3.0)
                fixture.connections.single().lose()
                fixture.acquire()
                fixture.connections.last().sent.first().shouldBeInstanceOf<NodeMessage.Hello>().rateLimits shouldBe
                    mapOf("w0" to 3.0)
            }
        }

        test(
            "a node without a scheduler sends no request to a worker with a rate limit at first, and its share later",
        ) {
            runTest {
                val fixture = Fixture(this, "here-1")
                val slot = fixture.acquire().shouldBeInstanceOf<DispatchResult.Assigned>().slot
                fixture.dispatcher.onRateLimit(slot, requestsPerSecond = 4.0)
                fixture.dispatcher.release(slot, SlotOutcome.USED)
                fixture.unreachable += listOf("here-1", "self")
                fixture.connections.single().lose()
                delay(10_000)
                fixture.acquire().worker() shouldBe "w1"
                val waitingSince = fixture.clock.millis()
                fixture.acquire().worker() shouldBe "w0"
                // Two nodes share four requests per second.
                (fixture.clock.millis() - waitingSince in 400..1_000) shouldBe true
            }
        }

        test("a slot in a zone that is evacuated is returned, and the next request excludes the zone") {
            runTest {
                val fixture = Fixture(this, "here-1")
                fixture.workers.update(fixture.workers.workers.map { if (it.id == "w0") it.copy(zone = "out") else it })
                fixture.answer = {
                    fixture.workers.evacuate(setOf("out"), nowMillis = 0)
                    SchedulerMessage.Granted(it.number, if ("out" in it.excludedZones) "w1" else "w0")
                }
                fixture.acquire().worker() shouldBe "w1"
                val sent = fixture.connections.single().sent
                sent.filterIsInstance<NodeMessage.Release>() shouldBe listOf(NodeMessage.Release(1, SlotOutcome.UNUSED))
                sent.filterIsInstance<NodeMessage.Acquire>().map { it.excludedZones } shouldBe
                    listOf(emptySet(), setOf("out"))
            }
        }

        test("a node without a scheduler sends nothing to an evacuated zone") {
            runTest {
                val fixture = Fixture(this)
                fixture.unreachable += "self"
                fixture.workers.evacuate(setOf("here"), nowMillis = 0)
                fixture.acquire() shouldBe DispatchResult.NoWorker
                fixture.workers.evacuate(emptySet(), nowMillis = 0)
                fixture.acquire().worker() shouldBe "w0"
            }
        }

        data class VersionCase(val versions: VersionRequirement, val registered: List<String>, val allowed: Set<String>)
        val recorded = VersionRequirement.Recorded
        listOf(
            VersionCase(VersionRequirement.Any, listOf("new", "old"), setOf("w0", "w1")),
            VersionCase(recorded, listOf("old", "old"), setOf("w0", "w1")),
            VersionCase(recorded, listOf("new", "old"), setOf("w1")),
            VersionCase(recorded, listOf("new", "new"), emptySet()),
            VersionCase(VersionRequirement.Only("old"), listOf("old", "old"), setOf("w0", "w1")),
            VersionCase(VersionRequirement.Only("old"), listOf("new", "old"), setOf("w1")),
            // Also if the log does not state the version any more, because a stream has begun there.
            VersionCase(VersionRequirement.Only("new"), listOf("new", "old"), setOf("w0")),
            VersionCase(VersionRequirement.Only("gone"), listOf("new", "old"), emptySet()),
        ).forEach { case ->
            // Guards against streams that go on at a worker of another software version.
            test("of workers with the versions ${case.registered}, ${case.versions} allows ${case.allowed}") {
                for (hasScheduler in listOf(true, false)) {
                    runTest {
                        val fixture = Fixture(this, "here-1")
                        fixture.register(listOf("w0", "w1").zip(case.registered).toMap())
                        if (!hasScheduler) fixture.unreachable += setOf("here-1", "self")
                        fixture.answer = { request ->
                            val worker = listOf("w0", "w1").firstOrNull { it !in request.excludedWorkers }
                            worker?.let { SchedulerMessage.Granted(request.number, it) }
                        }
                        val granted = case.allowed.map { fixture.acquire(versions = case.versions) }
                        granted.map { it.worker() }.all { it in case.allowed } shouldBe true
                        if (case.allowed.isNotEmpty()) return@runTest
                        fixture.acquire(versions = case.versions) shouldBe DispatchResult.NoWorker
                        fixture.connections.size shouldBe 0
                    }
                }
            }
        }

        data class ChangeCase(val name: String, val versions: VersionRequirement, val registered: Map<String, String>)
        listOf(
            ChangeCase("is registered", recorded, mapOf("w1" to "old", "w2" to "new")),
            ChangeCase("changes its version", VersionRequirement.Only("old"), mapOf("w1" to "old", "w0" to "new")),
        ).forEach { case ->
            test("a slot at a worker of another version that ${case.name} while a request waits is returned") {
                runTest {
                    val fixture = Fixture(this, "here-1")
                    fixture.register(mapOf("w0" to "old", "w1" to "old"))
                    fixture.answer = {
                        fixture.register(case.registered)
                        val worker = case.registered.keys.last { worker -> worker !in it.excludedWorkers }
                        SchedulerMessage.Granted(it.number, worker)
                    }
                    fixture.acquire(versions = case.versions).worker() shouldBe "w1"
                    fixture.connections.single().sent.filterIsInstance<NodeMessage.Release>() shouldBe
                        listOf(NodeMessage.Release(1, SlotOutcome.UNUSED))
                }
            }

            test("a node without a scheduler uses no worker of another version that ${case.name} meanwhile") {
                runTest {
                    val fixture = Fixture(this)
                    fixture.unreachable += "self"
                    fixture.register(mapOf("w0" to "old", "w1" to "old"))
                    val slots = List(2) { fixture.acquire().shouldBeInstanceOf<DispatchResult.Assigned>().slot }
                    val waiting =
                        async(start = CoroutineStart.UNDISPATCHED) { fixture.acquire(versions = case.versions) }
                    runCurrent()
                    fixture.register(case.registered)
                    slots.filter { it.target.worker.id == "w0" }.forEach { fixture.dispatcher.release(it) }
                    waiting.await() shouldBe DispatchResult.NoCapacity()
                    fixture.workers.workerStates.sumOf { it.online } shouldBe 1
                }
            }
        }

        test("a granted worker that this node can't use is returned, and another one is requested") {
            runTest {
                val fixture = Fixture(this, "here-1")
                fixture.workers.state("w0")?.onUnreachable()
                fixture.answer = { SchedulerMessage.Granted(it.number, if ("w0" in it.excludedWorkers) "w1" else "w0") }
                val result = async { fixture.acquire() }.await()
                result.worker() shouldBe "w1"
            }
        }
    })
