package org.poplarshift.serving.forward

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
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
import org.poplarshift.core.dispatch.WorkerBoard
import org.poplarshift.core.ingress.IngressRoute
import org.poplarshift.core.ingress.RouteKind
import org.poplarshift.core.ingress.WeightedService
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.serving.fixture.FakeLog
import org.poplarshift.serving.fixture.PlainWorkerProtocol
import org.poplarshift.serving.fixture.RecordingSink
import org.poplarshift.serving.fixture.ScriptedWorker
import org.poplarshift.serving.quarantine.CrashRegister
import org.poplarshift.serving.quarantine.RequestFingerprint
import org.poplarshift.serving.quarantine.RunAtWorker

/** Guards against answers that are mixed up, cut or run twice when workers fail in the ways that workers do. */
class OnlineForwarderTest :
    FunSpec({
        fun head(status: String, length: Int, more: String = "Stamp: 1\r\n") =
            "HTTP/1.1 $status\r\nId: ID\r\n${more}Content-Length: $length\r\n\r\n"
        val good = head("200 OK", 4) + "good"
        val cutBody = head("200 OK", 9) + "cutCLOSE"
        val unframed = "HTTP/1.1 200 OK\r\nId: ID\r\nStamp: 1\r\n\r\nunframedCLOSE"
        val foreign = "HTTP/1.1 200 OK\r\nId: other\r\nStamp: 1\r\nContent-Length: 3\r\n\r\nbad"
        val unstamped = head("200 OK", 3, more = "") + "bad"
        val full = head("503 Service Unavailable", 0, more = "Not-Run: 1\r\n")
        val failed = head("500 Internal Server Error", 6) + "failed"
        val streamHead = "HTTP/1.1 200 OK\r\nId: ID\r\nStamp: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
        fun chunk(text: String) = Integer.toHexString(text.length) + "\r\n" + text + "\r\n"
        fun event(number: Int) = "id: $number\ndata: $number\n\n"
        val wholeStream = streamHead + chunk(event(1)) + chunk(event(2)) + "0\r\n\r\n"
        val cutStream = streamHead + chunk(event(1) + "id: 2\nda") + "CLOSE"
        val restOfStream = streamHead + chunk(event(2)) + "0\r\n\r\n"

        data class Case(
            val name: String,
            val kind: RouteKind,
            val isResumable: Boolean = false,
            val answers: List<String>,
            val expected: OnlineOutcome,
            val body: String = "",
            val requests: Int,
            val crashedBefore: List<String> = emptyList(),
        )
        val body = Buffer.buffer("x")
        val delivered = OnlineOutcome.Delivered(200, "last")
        listOf(
            Case(
                "a whole answer",
                RouteKind.SAFE,
                answers = listOf(good),
                expected = delivered,
                body = "good",
                requests = 1,
            ),
            Case(
                "an answer that ends with its channel",
                RouteKind.SAFE,
                answers = listOf(unframed),
                expected = delivered,
                body = "unframed",
                requests = 1,
            ),
            Case(
                "a cut answer is asked for again",
                RouteKind.SAFE,
                answers = listOf(cutBody, good),
                expected = delivered,
                body = "good",
                requests = 2,
            ),
            Case(
                "another request's answer is dropped",
                RouteKind.SAFE,
                answers = listOf(foreign, good),
                expected = delivered,
                body = "good",
                requests = 2,
            ),
            Case(
                "an answer without receipt is dropped",
                RouteKind.SAFE,
                answers = listOf(unstamped, good),
                expected = delivered,
                body = "good",
                requests = 2,
            ),
            Case(
                "a full worker's request goes to another",
                RouteKind.UNSAFE,
                answers = listOf(full, good),
                expected = delivered,
                body = "good",
                requests = 2,
            ),
            Case(
                "a failure of the last attempt is passed on",
                RouteKind.SAFE,
                answers = listOf(failed, failed),
                expected = OnlineOutcome.Delivered(500, "last"),
                body = "failed",
                requests = 2,
            ),
            Case(
                "what may run once is not sent twice",
                RouteKind.UNSAFE,
                answers = listOf("CLOSE", good),
                expected = OnlineOutcome.Failed("Connection was closed", isTimeout = false),
                requests = 1,
            ),
            Case(
                "what no worker has run is refused",
                RouteKind.UNSAFE,
                answers = listOf(full, full),
                expected = OnlineOutcome.Refused("workers_full"),
                requests = 2,
            ),
            Case(
                "a whole stream",
                RouteKind.STREAM,
                answers = listOf(wholeStream),
                expected = delivered,
                body =
                event(1) + event(2),
                requests = 1,
            ),
            Case(
                "a stream goes on after the last whole event",
                RouteKind.STREAM,
                isResumable = true,
                answers = listOf(cutStream, restOfStream),
                expected = delivered,
                body =
                event(1) + event(2),
                requests = 2,
            ),
            Case(
                "a stream that may not go on is broken off",
                RouteKind.STREAM,
                answers = listOf(cutStream, restOfStream),
                expected = OnlineOutcome.Aborted("Connection was closed"),
                body = event(1),
                requests = 1,
            ),
            Case(
                "a request with which three workers have crashed reaches no other",
                RouteKind.STREAM,
                isResumable = true,
                answers = listOf(wholeStream),
                expected = OnlineOutcome.Refused(OnlineOutcome.QUARANTINED),
                requests = 0,
                crashedBefore = listOf("w1", "w2", "w3"),
            ),
            Case(
                "a request that crashes the third worker is not sent to a fourth",
                RouteKind.SAFE,
                answers = listOf("CLOSE", good),
                expected = OnlineOutcome.Failed(OnlineOutcome.QUARANTINED, isTimeout = false),
                requests = 1,
                crashedBefore = listOf("w1", "w2"),
            ),
        ).forEach { case ->
            test(case.name) {
                val vertx = Vertx.vertx()
                val scope = CoroutineScope(SupervisorJob() + vertx.dispatcher())
                val workers = case.answers.map { ScriptedWorker(vertx, it).listen() }
                val entries = workers.mapIndexed { index, worker ->
                    val isLast = index == workers.size - 1
                    val id = if (isLast) "last" else "w$index"
                    FleetWorker(
                        id,
                        "s",
                        worker.address,
                        if (isLast) "there" else "here",
                        slots = 1,
                        isDraining = false,
                        startedMillis = 1,
                    )
                }
                // The first worker is preferred, because it is in the zone of the node.
                val board = WorkerBoard("here") { 0.0 }.apply { update(entries) }
                val clock = MonotonicClock.SYSTEM
                val connections = WorkerConnectionPool(vertx, "127.0.0.1", clock)
                val prober = WorkerProber(scope, board, connections)
                val crashes = CrashRegister(scope, clock, FakeLog(), "members", "node")
                case.crashedBefore.forEach { crashes.onLost(RunAtWorker(RequestFingerprint.of(null, "/", body), it)) }
                val dispatcher = WorkerDispatcher(scope, board, clock)
                val forwarding = ForwardingContext(dispatcher, connections, prober, PlainWorkerProtocol, clock, crashes)
                val route = IngressRoute(
                    name = "route",
                    host = "host",
                    pathPrefix = "/",
                    kind = case.kind,
                    timeoutMillis = 5_000,
                    targetLatencyMillis = 300,
                    priority = 0,
                    targets = listOf(WeightedService("s", 1.0)),
                    maximumAttempts = 2,
                    isResumable = case.isResumable,
                )
                val now = clock.millis()
                val headers = MultiMap.caseInsensitiveMultiMap()
                val call = OnlineCall(
                    "id", route, "s", null, HttpMethod.POST, "/", headers, body, now,
                    now + 5_000, 0, null,
                )
                val attempts = if (route.mayRepeat) 2 else 1
                val plan =
                    AttemptPlan(
                        "id", "s", null, HttpMethod.POST, "/", headers,
                        body, now + 5_000, attempts,
                    )
                val sink = RecordingSink()
                val outcome = scope.async {
                    OnlineForwarder(forwarding).serve(call, AttemptSession(plan, forwarding), sink)
                }.await()
                outcome shouldBe case.expected
                sink.body.toString() shouldBe case.body
                sink.isEnded shouldBe (outcome is OnlineOutcome.Delivered)
                workers.sumOf { it.requests.size } shouldBe case.requests
                if (case.isResumable &&
                    case.requests > 0
                ) {
                    workers.last().requests.single().contains("After: 1") shouldBe true
                }
                scope.cancel()
                vertx.close().coAwait()
            }
        }
    })
