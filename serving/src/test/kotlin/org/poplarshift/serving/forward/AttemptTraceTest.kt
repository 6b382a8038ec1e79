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
import org.poplarshift.serving.fixture.TestForwarding

/** Guards against calls whose log lines don't lead to the connections that have carried their responses. */
class AttemptTraceTest :
    FunSpec({
        class Response(val text: String, val closes: Boolean = false)

        class Worker(private val vertx: Vertx, private val responses: List<Response>) {
            private var requests = 0

            suspend fun listen(): String {
                val server = vertx.createNetServer().connectHandler { socket ->
                    socket.handler { bytes ->
                        val id = bytes.toString().substringAfter("\r\nId: ", "").substringBefore("\r\n")
                        val response = responses[requests++]
                        socket.write(response.text.replace("ID", id))
                        if (response.closes) socket.close()
                    }
                }
                return "127.0.0.1:${server.listen(0, "127.0.0.1").coAwait().actualPort()}"
            }
        }

        class Call(val kind: RouteKind, val trace: List<String>, val hasUnusableResponse: Boolean = false)

        class Case(val name: String, val near: List<Response>, val far: List<Response>, val calls: List<Call>)

        val ok = Response("HTTP/1.1 200 OK\r\nId: ID\r\nStamp: 1\r\nContent-Length: 4\r\n\r\ngood")
        val otherId = Response("HTTP/1.1 200 OK\r\nId: other\r\nStamp: 1\r\nContent-Length: 4\r\n\r\ngood")
        val cut = Response("HTTP/1.1 200 OK\r\nId: ID\r\nStamp: 1\r\nContent-Length: 4\r\n\r\ngo", closes = true)
        val noReceipt = Response("HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 4\r\n\r\ngood")
        val refusal = Response("HTTP/1.1 503 Unavailable\r\nId: ID\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
        val stream = Response("HTTP/1.1 200 OK\r\nId: ID\r\nStamp: 1\r\nContent-Length: 15\r\n\r\nid: 1\ndata: 1\n\n")
        val secondHead = Response(
            "HTTP/1.1 200 OK\r\nId: ID\r\nStamp: 1\r\nContent-Length: 31\r\n\r\nid: 1\ndata: 1\n\nHTTP/1.1 500 X\n\n",
        )
        val safe = RouteKind.SAFE
        val cases = listOf(
            Case(
                "requests that follow each other on a connection",
                near = listOf(ok, ok, stream),
                far = emptyList(),
                calls = listOf(
                    Call(safe, listOf("near:200@1#0+T")),
                    Call(safe, listOf("near:200@1#1+T")),
                    Call(RouteKind.STREAM, listOf("near:200@1#2+T")),
                ),
            ),
            Case(
                "a response to another request",
                near = listOf(ok, otherId),
                far = listOf(ok),
                calls = listOf(
                    Call(safe, listOf("near:200@1#0+T")),
                    Call(safe, listOf("near:other_request_id@1#1", "far:200@2#0+T"), hasUnusableResponse = true),
                ),
            ),
            Case(
                "a body that is cut off",
                near = listOf(cut),
                far = listOf(ok),
                calls = listOf(
                    Call(
                        safe,
                        listOf("near:200@1#0", "Connection was closed", "far:200@2#0+T"),
                        hasUnusableResponse = true,
                    ),
                ),
            ),
            Case(
                "a response without a receipt",
                near = listOf(noReceipt),
                far = listOf(ok),
                calls = listOf(
                    Call(safe, listOf("near:success without receipt@1#0", "far:200@2#0+T"), hasUnusableResponse = true),
                ),
            ),
            Case(
                "a second response in a stream",
                near = listOf(secondHead),
                far = emptyList(),
                calls = listOf(
                    Call(
                        RouteKind.STREAM,
                        listOf("near:200@1#0", "another response inside the stream"),
                        hasUnusableResponse = true,
                    ),
                ),
            ),
            Case(
                "a request that a worker has not run",
                near = listOf(refusal),
                far = listOf(ok),
                calls = listOf(Call(safe, listOf("near:worker_503@1#0", "far:200@2#0+T"))),
            ),
        )

        fun route(kind: RouteKind) = IngressRoute(
            name = "route",
            host = "host",
            pathPrefix = "/",
            kind = kind,
            timeoutMillis = 5_000,
            targetLatencyMillis = 300,
            priority = 0,
            targets = listOf(WeightedService("s", 1.0)),
            maximumAttempts = 2,
            isResumable = false,
        )

        cases.forEach { case ->
            test("the attempts of a call name connections and the requests before it: ${case.name}") {
                val vertx = Vertx.vertx()
                val scope = CoroutineScope(SupervisorJob() + vertx.dispatcher())
                val entries = listOf("near" to case.near, "far" to case.far).map { (id, responses) ->
                    val address = Worker(vertx, responses).listen()
                    // The worker in the zone of the node is preferred.
                    FleetWorker(id, "s", address, zone = id, slots = 1, isDraining = false, startedMillis = 1)
                }
                val loadBalancer = LoadBalancer("near") { 0.0 }.apply { update(entries) }
                val clock = MonotonicClock.SYSTEM
                val forwarding = TestForwarding.of(vertx, scope, loadBalancer)
                val traces = scope.async {
                    case.calls.mapIndexed { index, call ->
                        val route = route(call.kind)
                        val end = clock.millis() + 5_000
                        val headers = MultiMap.caseInsensitiveMultiMap()
                        val body = Buffer.buffer("x")
                        val id = "id-$index"
                        val online = OnlineCall(
                            id, route, "s", null, HttpMethod.POST, "/", headers, body, clock.millis(), end, 0, null,
                        )
                        val attempts = if (route.mayRepeat) 2 else 1
                        val plan = AttemptPlan(
                            id, "s", null, HttpMethod.POST, "/", headers, body, end, attempts, route.mayRepeat,
                        )
                        val session = AttemptSession(plan, forwarding)
                        OnlineForwarder(forwarding).serve(online, session, RecordingSink())
                        session.trace.map { it.replace(Regex("\\+\\d+$"), "+T") } to session.hasUnusableResponse
                    }
                }.await()
                traces shouldBe case.calls.map { it.trace to it.hasUnusableResponse }
                scope.cancel()
                vertx.close().coAwait()
            }
        }
    })
