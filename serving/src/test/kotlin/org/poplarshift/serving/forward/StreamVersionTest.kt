package org.poplarshift.serving.forward

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import io.vertx.core.MultiMap
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import io.vertx.kotlin.coroutines.coAwait
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.cancel
import org.poplarshift.core.dispatch.FleetWorker
import org.poplarshift.core.dispatch.LoadBalancer
import org.poplarshift.core.ingress.IngressRoute
import org.poplarshift.core.ingress.RouteKind
import org.poplarshift.core.ingress.WeightedService
import org.poplarshift.core.stream.StreamOrigin
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.serving.fixture.FakeDispatcher
import org.poplarshift.serving.fixture.FakeStreamOrigins
import org.poplarshift.serving.fixture.RecordingSink
import org.poplarshift.serving.fixture.ScriptedWorker
import org.poplarshift.serving.fixture.TestForwarding

/**
 * Guards against streams that hold events of workers of two software versions, in one response or because a caller resumes
 * one, and against streams that are broken off although a worker of their version is left.
 */
class StreamVersionTest :
    FunSpec({
        val head = "HTTP/1.1 200 OK\r\nId: ID\r\nStamp: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
        fun event(number: Int, version: String) = "id: $number\ndata: $version\n\n"
        fun chunk(text: String) = Integer.toHexString(text.length) + "\r\n" + text + "\r\n"
        fun rest(version: String) = head + chunk(event(2, version)) + "0\r\n\r\n"
        fun whole(version: String) = head + chunk(event(1, version)) + chunk(event(2, version)) + "0\r\n\r\n"
        val cut = head + chunk(event(1, "old")) + "CLOSE"
        val old = StreamOrigin("s", "old")

        /** A worker of [version] with its [response]. Workers are preferred in the order in which a case lists them. */
        class Worker(val version: String, val response: String)

        data class Case(
            val name: String,
            val workers: List<Worker>,
            val resumeAfter: Long? = null,
            val origin: StreamOrigin? = null,
            val changedVersion: String? = null,
            val changedStartMillis: Long = 1,
            val expected: String,
            val isComplete: Boolean,
            val received: List<Int>,
            val begun: List<Pair<String, StreamOrigin>>,
            val counted: String? = null,
        )
        val noWorker = "Refused(reason=no_worker, retryMillis=null)"
        listOf(
            Case(
                "is broken off when the worker crashes and the only other one has another version",
                listOf(Worker("old", cut), Worker("new", rest("new"))),
                expected = event(1, "old"),
                isComplete = false,
                received = listOf(1, 0),
                begun = listOf("id" to old),
                counted = "broken_off",
            ),
            Case(
                "goes on at a worker of its version, although another one is preferred, when the worker crashes",
                listOf(Worker("old", cut), Worker("new", rest("new")), Worker("old", rest("old"))),
                expected = event(1, "old") + event(2, "old"),
                isComplete = true,
                received = listOf(1, 0, 1),
                begun = listOf("id" to old),
                counted = "continued",
            ),
            Case(
                "begins at a worker of any version when the first one crashes before its response",
                listOf(Worker("old", "CLOSE"), Worker("new", whole("new"))),
                expected = event(1, "new") + event(2, "new"),
                isComplete = true,
                received = listOf(1, 1),
                begun = listOf("id" to StreamOrigin("s", "new")),
            ),
            Case(
                "begins at a worker of any version when the first one crashes before the first event",
                listOf(Worker("old", head + "CLOSE"), Worker("new", whole("new"))),
                expected = event(1, "new") + event(2, "new"),
                isComplete = true,
                received = listOf(1, 1),
                begun = listOf("id" to StreamOrigin("s", "new")),
            ),
            Case(
                "that a caller resumes goes on at its version",
                listOf(Worker("new", rest("new")), Worker("old", rest("old"))),
                resumeAfter = 1,
                origin = old,
                expected = event(2, "old"),
                isComplete = true,
                received = listOf(0, 1),
                begun = listOf("first" to old),
                counted = "taken_up",
            ),
            Case(
                "that a caller resumes is refused without a worker of its version",
                listOf(Worker("new", rest("new"))),
                resumeAfter = 1,
                origin = old,
                expected = noWorker,
                isComplete = false,
                received = listOf(0),
                begun = emptyList(),
            ),
            Case(
                "does not begin at a version that the log does not state",
                listOf(Worker("unrecorded", whole("unrecorded")), Worker("old", whole("old"))),
                expected = event(1, "old") + event(2, "old"),
                isComplete = true,
                received = listOf(0, 1),
                begun = listOf("id" to old),
            ),
            Case(
                "is not sent to a worker whose entry states another version after it was assigned",
                listOf(Worker("old", whole("new"))),
                resumeAfter = 1,
                origin = old,
                changedVersion = "new",
                expected = "Refused(reason=workers_full, retryMillis=null)",
                isComplete = false,
                received = listOf(0),
                begun = emptyList(),
            ),
            Case(
                "is not sent to a worker that restarts with another version after it was assigned",
                listOf(Worker("old", whole("new"))),
                resumeAfter = 1,
                origin = old,
                changedVersion = "new",
                changedStartMillis = 2,
                expected = "Refused(reason=workers_full, retryMillis=null)",
                isComplete = false,
                received = listOf(0),
                begun = emptyList(),
            ),
        ).forEach { case ->
            test("a stream ${case.name}") {
                val vertx = Vertx.vertx()
                val scope = CoroutineScope(SupervisorJob() + vertx.dispatcher())
                val workers = case.workers.map { ScriptedWorker(vertx, it.response).listen() }
                val entries = workers.mapIndexed { index, worker ->
                    // In another zone, a worker is the more preferred the more slots it has.
                    FleetWorker(
                        "w$index",
                        "s",
                        worker.address,
                        if (index == 0) "here" else "there",
                        slots = workers.size - index,
                        isDraining = false,
                        startedMillis = 1,
                        softwareVersion = case.workers[index].version,
                    )
                }
                val loadBalancer = LoadBalancer("here") { 0.0 }.apply { update(entries) }
                val clock = MonotonicClock.SYSTEM
                val registry = SimpleMeterRegistry()
                val origins = FakeStreamOrigins(unrecorded = setOf("unrecorded"))
                val dispatcher = FakeDispatcher(loadBalancer, origins::isRecorded) {
                    case.changedVersion?.let { version ->
                        val changed = entries.map {
                            it.copy(softwareVersion = version, startedMillis = case.changedStartMillis)
                        }
                        loadBalancer.update(changed)
                    }
                }
                val forwarding = TestForwarding.of(vertx, scope, loadBalancer, dispatcher, origins, registry)
                val route = IngressRoute(
                    name = "route",
                    host = "host",
                    pathPrefix = "/",
                    kind = RouteKind.STREAM,
                    timeoutMillis = 5_000,
                    targetLatencyMillis = 300,
                    priority = 0,
                    targets = listOf(WeightedService("s", 1.0)),
                    maximumAttempts = 3,
                    isResumable = true,
                )
                val headers = MultiMap.caseInsensitiveMultiMap()
                val body = Buffer.buffer("x")
                val end = clock.millis() + 5_000
                val call = OnlineCall(
                    "id", route, "s", null, HttpMethod.POST, "/", headers, body, clock.millis(), end, 0,
                    case.resumeAfter, case.origin, resumedRequestId = case.origin?.let { "first" },
                )
                val plan = AttemptPlan("id", "s", null, HttpMethod.POST, "/", headers, body, end, 3, mayRepeat = true)
                val sink = RecordingSink()
                val outcome = scope.async {
                    OnlineForwarder(forwarding).serve(call, AttemptSession(plan, forwarding), sink)
                }.await()
                val seen = if (outcome is OnlineOutcome.Refused) "$outcome" else sink.body.toString()
                seen shouldBe case.expected
                sink.isEnded shouldBe case.isComplete
                workers.map { it.requests.size } shouldBe case.received
                origins.begun shouldBe case.begun
                registry.find("streams_resumed").counters().map { it.id.getTag("outcome") } shouldBe
                    listOfNotNull(case.counted)
                scope.cancel()
                vertx.close().coAwait()
            }
        }
    })
