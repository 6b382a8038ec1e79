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
import org.poplarshift.core.dispatch.LoadBalancer
import org.poplarshift.core.ingress.IngressRoute
import org.poplarshift.core.ingress.RouteKind
import org.poplarshift.core.ingress.WeightedService
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.serving.fixture.RecordingSink
import org.poplarshift.serving.fixture.ScriptedWorker
import org.poplarshift.serving.fixture.TestForwarding
import org.poplarshift.serving.quarantine.RequestFingerprint
import org.poplarshift.serving.quarantine.WorkerRun

/**
 * Guards against wrong or truncated responses and against requests that run twice, when a worker refuses a request,
 * crashes, closes the connection early, or responds to another request.
 */
class OnlineForwarderTest :
    FunSpec({
        fun head(status: String, length: Int, additionalHeaders: String = "Stamp: 1\r\n") =
            "HTTP/1.1 $status\r\nId: ID\r\n${additionalHeaders}Content-Length: $length\r\n\r\n"
        val okResponse = head("200 OK", 4) + "good"
        val truncatedResponse = head("200 OK", 9) + "cutCLOSE"
        val responseWithoutLength = "HTTP/1.1 200 OK\r\nId: ID\r\nStamp: 1\r\n\r\nunframedCLOSE"
        val wrongResponse = "HTTP/1.1 200 OK\r\nId: other\r\nStamp: 1\r\nContent-Length: 3\r\n\r\nbad"
        val responseWithoutReceipt = head("200 OK", 3, additionalHeaders = "") + "bad"
        val notRunResponse = head("503 Service Unavailable", 0, additionalHeaders = "Not-Run: 1\r\n")
        val errorResponse = head("500 Internal Server Error", 6) + "failed"
        val streamHead = "HTTP/1.1 200 OK\r\nId: ID\r\nStamp: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
        fun chunk(text: String) = Integer.toHexString(text.length) + "\r\n" + text + "\r\n"
        fun event(number: Int) = "id: $number\ndata: $number\n\n"
        val completeStream = streamHead + chunk(event(1)) + chunk(event(2)) + "0\r\n\r\n"
        val truncatedStream = streamHead + chunk(event(1) + "id: 2\nda") + "CLOSE"
        val unframedHead = "HTTP/1.1 200 OK\r\nId: ID\r\nStamp: 1\r\n\r\n"
        val unframedStream = unframedHead + event(1) + event(2) + "CLOSE"
        val truncatedUnframedStream = unframedHead + event(1) + "id: 2\ndaCLOSE"
        val streamEndingInEvent = streamHead + chunk(event(1) + "id: 2\nda") + "0\r\n\r\n"
        val emptyUnframedStream = unframedHead + "CLOSE"
        val resumedStream = streamHead + chunk(event(2)) + "0\r\n\r\n"

        data class Case(
            val name: String,
            val kind: RouteKind,
            val isResumable: Boolean = false,
            val responses: List<String>,
            val expected: OnlineOutcome,
            val body: String = "",
            val expectedRequests: Int,
            val expectedResumeAfter: String? = "After: 1",
            val crashedWorkers: List<String> = emptyList(),
        )
        val body = Buffer.buffer("x")
        val delivered = OnlineOutcome.Delivered(200, "last")
        listOf(
            Case(
                "a complete response is delivered",
                RouteKind.SAFE,
                responses = listOf(okResponse),
                expected = delivered,
                body = "good",
                expectedRequests = 1,
            ),
            Case(
                "a response without a length that ends with the connection is delivered",
                RouteKind.SAFE,
                responses = listOf(responseWithoutLength),
                expected = delivered,
                body = "unframed",
                expectedRequests = 1,
            ),
            Case(
                "a request whose response is truncated is retried",
                RouteKind.SAFE,
                responses = listOf(truncatedResponse, okResponse),
                expected = delivered,
                body = "good",
                expectedRequests = 2,
            ),
            Case(
                "a response to another request is discarded and the request is retried",
                RouteKind.SAFE,
                responses = listOf(wrongResponse, okResponse),
                expected = delivered,
                body = "good",
                expectedRequests = 2,
            ),
            Case(
                "a response without a receipt is discarded and the request is retried",
                RouteKind.SAFE,
                responses = listOf(responseWithoutReceipt, okResponse),
                expected = delivered,
                body = "good",
                expectedRequests = 2,
            ),
            Case(
                "a request that a full worker has not run is sent to another worker",
                RouteKind.UNSAFE,
                responses = listOf(notRunResponse, okResponse),
                expected = delivered,
                body = "good",
                expectedRequests = 2,
            ),
            Case(
                "the error response of the last attempt is forwarded",
                RouteKind.SAFE,
                responses = listOf(errorResponse, errorResponse),
                expected = OnlineOutcome.Delivered(500, "last"),
                body = "failed",
                expectedRequests = 2,
            ),
            Case(
                "an unsafe request that may have run is not sent again",
                RouteKind.UNSAFE,
                responses = listOf("CLOSE", okResponse),
                expected = OnlineOutcome.Failed("Connection was closed", isTimeout = false),
                expectedRequests = 1,
            ),
            Case(
                "a request that no worker has run is refused",
                RouteKind.UNSAFE,
                responses = listOf(notRunResponse, notRunResponse),
                expected = OnlineOutcome.Refused("workers_full"),
                expectedRequests = 2,
            ),
            Case(
                "a complete stream is delivered",
                RouteKind.STREAM,
                responses = listOf(completeStream),
                expected = delivered,
                body =
                event(1) + event(2),
                expectedRequests = 1,
            ),
            Case(
                "a resumable stream resumes after the last complete event",
                RouteKind.STREAM,
                isResumable = true,
                responses = listOf(truncatedStream, resumedStream),
                expected = delivered,
                body =
                event(1) + event(2),
                expectedRequests = 2,
            ),
            Case(
                "a stream without a length or chunks that ends after an event is delivered",
                RouteKind.STREAM,
                responses = listOf(unframedStream),
                expected = delivered,
                body = event(1) + event(2),
                expectedRequests = 1,
            ),
            Case(
                "a stream without a length or chunks that ends inside an event resumes after the last complete event",
                RouteKind.STREAM,
                isResumable = true,
                responses = listOf(truncatedUnframedStream, resumedStream),
                expected = delivered,
                body = event(1) + event(2),
                expectedRequests = 2,
            ),
            Case(
                "a stream without a length or chunks that ends inside an event is aborted unless it is resumable",
                RouteKind.STREAM,
                responses = listOf(truncatedUnframedStream, resumedStream),
                expected = OnlineOutcome.Aborted("the stream ended inside an event"),
                body = event(1),
                expectedRequests = 1,
            ),
            Case(
                "a stream without a length or chunks that ends before its first event is sent to another worker",
                RouteKind.STREAM,
                isResumable = true,
                responses = listOf(emptyUnframedStream, completeStream),
                expected = delivered,
                body = event(1) + event(2),
                expectedRequests = 2,
                expectedResumeAfter = null,
            ),
            Case(
                "a stream in chunks that ends inside an event resumes after the last complete event",
                RouteKind.STREAM,
                isResumable = true,
                responses = listOf(streamEndingInEvent, resumedStream),
                expected = delivered,
                body = event(1) + event(2),
                expectedRequests = 2,
            ),
            Case(
                "a stream that repeats an event is aborted even if it is resumable, because the worker's events are wrong",
                RouteKind.STREAM,
                isResumable = true,
                responses = listOf(streamHead + chunk(event(1)) + chunk(event(1))),
                expected = OnlineOutcome.Aborted("event 1 after event 1"),
                body = event(1),
                expectedRequests = 1,
                expectedResumeAfter = null,
            ),
            Case(
                "no event is delivered twice when a worker starts from the first event instead of resuming",
                RouteKind.STREAM,
                isResumable = true,
                responses = listOf(truncatedStream, completeStream),
                expected = OnlineOutcome.Aborted("event 1 after event 1"),
                body = event(1),
                expectedRequests = 2,
            ),
            Case(
                "a truncated stream that is not resumable is aborted",
                RouteKind.STREAM,
                responses = listOf(truncatedStream, resumedStream),
                expected = OnlineOutcome.Aborted("Connection was closed"),
                body = event(1),
                expectedRequests = 1,
            ),
            Case(
                "a request that has crashed three workers is not sent to another one",
                RouteKind.STREAM,
                isResumable = true,
                responses = listOf(completeStream),
                expected = OnlineOutcome.Refused(OnlineOutcome.QUARANTINED),
                expectedRequests = 0,
                crashedWorkers = listOf("w1", "w2", "w3"),
            ),
            Case(
                "a request that crashes the third worker is not sent to a fourth",
                RouteKind.SAFE,
                responses = listOf("CLOSE", okResponse),
                expected = OnlineOutcome.Failed(OnlineOutcome.QUARANTINED, isTimeout = false),
                expectedRequests = 1,
                crashedWorkers = listOf("w1", "w2"),
            ),
        ).forEach { case ->
            test(case.name) {
                val vertx = Vertx.vertx()
                val scope = CoroutineScope(SupervisorJob() + vertx.dispatcher())
                val workers = case.responses.map { ScriptedWorker(vertx, it).listen() }
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
                // The first worker is in the zone of the node and therefore preferred.
                val loadBalancer = LoadBalancer("here") { 0.0 }.apply { update(entries) }
                val clock = MonotonicClock.SYSTEM
                val forwarding = TestForwarding.of(vertx, scope, loadBalancer)
                case.crashedWorkers.forEach {
                    forwarding.crashTracker.onConnectionLost(WorkerRun(RequestFingerprint.of(null, "/", body), it))
                }
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
                        body, now + 5_000, attempts, route.mayRepeat,
                    )
                val sink = RecordingSink()
                val outcome = scope.async {
                    OnlineForwarder(forwarding).serve(call, AttemptSession(plan, forwarding), sink)
                }.await()
                outcome shouldBe case.expected
                sink.body.toString() shouldBe case.body
                sink.isEnded shouldBe (outcome is OnlineOutcome.Delivered)
                workers.sumOf { it.requests.size } shouldBe case.expectedRequests
                if (case.isResumable &&
                    case.expectedRequests > 0
                ) {
                    val received = workers.last().requests.single().lines()
                    received.filter { it.startsWith("After:") } shouldBe listOfNotNull(case.expectedResumeAfter)
                }
                scope.cancel()
                vertx.close().coAwait()
            }
        }
    })
