package org.poplarshift.serving.forward

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeBetween
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
import org.poplarshift.serving.fixture.FakeDispatcher
import org.poplarshift.serving.fixture.RecordingSink
import org.poplarshift.serving.fixture.TestForwarding

/** Guards against schedulers that learn the costs of requests from runs that have failed, or from none at all. */
class RunObservationTest :
    FunSpec({
        class Case(
            val name: String,
            val kind: RouteKind,
            val response: String,
            val events: Int,
            val isComplete: Boolean,
            val resumeAfter: Long? = null,
        )

        val head = "HTTP/1.1 200 OK\r\nId: ID\r\nStamp: 1\r\nPercent: 250\r\n"
        val two = "${head}Content-Length: 30\r\n\r\nid: 3\ndata: 1\n\nid: 4\ndata: 2\n\n"
        listOf(
            Case("a stream of two events", RouteKind.STREAM, two, events = 2, isComplete = true),
            Case("the rest of a stream", RouteKind.STREAM, two, events = 2, isComplete = false, resumeAfter = 2),
            Case("a stream that breaks off", RouteKind.STREAM, two.replace("30", "40"), events = 2, isComplete = false),
            Case("a body", RouteKind.SAFE, "${head}Content-Length: 4\r\n\r\ngood", events = 0, isComplete = true),
            Case(
                "an error",
                RouteKind.SAFE,
                "${head.replace("200 OK", "404 X")}Content-Length: 1\r\n\r\nx",
                events = 0,
                isComplete = false,
            ),
        ).forEach { case ->
            test("a released slot describes its run: ${case.name}") {
                val vertx = Vertx.vertx()
                val scope = CoroutineScope(SupervisorJob() + vertx.dispatcher())
                val server = vertx.createNetServer().connectHandler { socket ->
                    socket.handler { bytes ->
                        val id = bytes.toString().substringAfter("\r\nId: ", "").substringBefore("\r\n")
                        socket.write(case.response.replace("ID", id))
                        if (!case.isComplete) vertx.setTimer(20) { socket.close() }
                    }
                }
                val address = "127.0.0.1:${server.listen(0, "127.0.0.1").coAwait().actualPort()}"
                val worker = FleetWorker("w", "s", address, "here", slots = 1, isDraining = false, startedMillis = 1)
                val workers = LoadBalancer("here") { 0.0 }.apply { update(listOf(worker)) }
                val clock = MonotonicClock.SYSTEM
                val dispatcher = FakeDispatcher(workers)
                val forwarding =
                    TestForwarding.of(vertx, scope, workers, dispatcher, tokensPerEvent = TOKENS_PER_EVENT)
                scope.async {
                    val headers = MultiMap.caseInsensitiveMultiMap()
                    val body = Buffer.buffer("x")
                    val end = clock.millis() + 3_000
                    val route = IngressRoute(
                        "r", "host", "/", case.kind, 3_000, 300, 0, listOf(WeightedService("s", 1.0)), 1,
                    )
                    val call = OnlineCall(
                        "id", route, "s", null, HttpMethod.POST, "/", headers, body, clock.millis(), end, 0,
                        case.resumeAfter,
                    )
                    val plan = AttemptPlan("id", "s", null, HttpMethod.POST, "/", headers, body, end, 1, false)
                    OnlineForwarder(forwarding).serve(call, AttemptSession(plan, forwarding), RecordingSink())
                }.await()
                val run = checkNotNull(dispatcher.runs.single())
                run.outputTokens shouldBe case.events * TOKENS_PER_EVENT
                run.isComplete shouldBe case.isComplete
                checkNotNull(run.firstEventMillis).shouldBeBetween(0, run.runMillis)
                dispatcher.slowness shouldBe listOf(250)
                scope.cancel()
                vertx.close().coAwait()
            }
        }
    })

private const val TOKENS_PER_EVENT = 12
