package org.poplarshift.serving.ingress

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import io.vertx.core.MultiMap
import io.vertx.core.Vertx
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.RequestOptions
import io.vertx.kotlin.coroutines.coAwait
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.poplarshift.core.dispatch.FleetWorker
import org.poplarshift.core.dispatch.LoadBalancer
import org.poplarshift.core.ingress.CallerLimits
import org.poplarshift.core.ingress.IngressConfiguration
import org.poplarshift.core.ingress.IngressRoute
import org.poplarshift.core.ingress.RouteKind
import org.poplarshift.core.ingress.WeightedService
import org.poplarshift.core.stream.StreamOrigin
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.serving.fixture.FakeDispatcher
import org.poplarshift.serving.fixture.FakeLog
import org.poplarshift.serving.fixture.FakeStreamOrigins
import org.poplarshift.serving.fixture.PlainCallerProtocol
import org.poplarshift.serving.fixture.ScriptedWorker
import org.poplarshift.serving.fixture.TestForwarding
import org.poplarshift.serving.fixture.TestTasks
import org.poplarshift.serving.fleet.ConfigurationHolder
import org.poplarshift.serving.fleet.ConfigurationResult
import org.poplarshift.serving.log.LogRecord
import org.poplarshift.serving.observe.CallRecorder
import org.poplarshift.serving.submission.ContentCache
import org.poplarshift.serving.submission.SubmissionService
import org.poplarshift.serving.submission.SubmissionStore

/**
 * Guards against streams that a caller resumes at a worker of another software version than that of the part that it has
 * received, and against calls that wait for the origin of a stream after their deadline or the shutdown of the node.
 */
class ResumedStreamTest :
    FunSpec({
        val protocol = object : CallerProtocol by PlainCallerProtocol {
            override fun decode(method: HttpMethod, uri: String, headers: MultiMap): CallerOperation {
                val head = PlainCallerProtocol.decode(method, uri, headers).head
                return CallerOperation.Request(
                    head.copy(resumeAfter = headers["After"]?.toLong(), resumedRequestId = headers["Resumes"]),
                )
            }
        }
        val targets = listOf(WeightedService("s", 1.0), WeightedService("t", 1.0), WeightedService("removed", 0.0))
        val configuration = IngressConfiguration(
            version = 1,
            routes = listOf(RouteKind.STREAM, RouteKind.SAFE).map { kind ->
                IngressRoute("$kind", "host", "/$kind/", kind, 5_000, 300, 0, targets, 2, isResumable = true)
            },
            services = emptyMap(),
            limits = CallerLimits(16_384, 1_000_000, 3_000, 15_000),
            organisations = null,
        )
        // The first worker of a service is the one that a request for any version gets.
        val workers = listOf("s/new", "s/old", "t/new", "t/old", "removed/old")

        class Response(val status: Int, val body: String, val retryMillis: String?)

        class Fixture(val origins: FakeStreamOrigins) {
            val vertx: Vertx = Vertx.vertx()
            val scope = CoroutineScope(SupervisorJob() + vertx.dispatcher())
            val registry = SimpleMeterRegistry()
            val reached = HashMap<String, ScriptedWorker>()
            lateinit var server: CallerServer

            private val client = vertx.createHttpClient()
            private val tasks = TestTasks.of(scope)
            private val clock = MonotonicClock.SYSTEM

            private suspend fun startWorkers(): LoadBalancer {
                val entries = workers.mapIndexed { index, name ->
                    val (service, version) = name.split("/")
                    val event = "id: 2\ndata: $name\n\n"
                    val head = "HTTP/1.1 200 OK\r\nId: ID\r\nStamp: 1\r\nContent-Length: ${event.length}\r\n\r\n"
                    val worker = ScriptedWorker(vertx, head + event).listen().also { reached[name] = it }
                    val zone = if (version == "new") "here" else "there"
                    FleetWorker("w$index", service, worker.address, zone, 1, false, 1, softwareVersion = version)
                }
                return LoadBalancer("here") { 0.0 }.apply { update(entries) }
            }

            suspend fun start(): Int {
                val holder = ConfigurationHolder({ _, _ -> ConfigurationResult.Valid(configuration) })
                holder.onRecord(LogRecord(0, "configuration", byteArrayOf(1)))
                val store = SubmissionStore(tasks, FakeLog(), clock, "submissions", "contents", 1, ContentCache(1_000))
                val submissions = SubmissionService(store, protocol, clock)
                val workers = startWorkers()
                val dispatcher = FakeDispatcher(workers, origins::isRecorded)
                val forwarding = TestForwarding.of(vertx, scope, workers, dispatcher, origins, registry)
                val handlers = CallHandlers(clock, holder, forwarding, submissions) { 0.0 }
                val recorder = CallRecorder(registry)
                server = CallerServer(vertx, tasks, clock, protocol, holder, handlers, recorder, TestTasks.clients())
                return server.listen("127.0.0.1:0")
            }

            suspend fun send(port: Int, path: String, headers: Map<String, String>): Response {
                val options = RequestOptions().setHost("127.0.0.1").setPort(port).setURI(path)
                    .setMethod(HttpMethod.POST).putHeader("Host", "host").putHeader("Id", "id")
                headers.forEach { (name, value) -> options.putHeader(name, value) }
                val response = client.request(options).coAwait().send("x").coAwait()
                val body = response.body().coAwait().toString().substringAfter("data: ").trim()
                return Response(response.statusCode(), body, response.getHeader("Come-Back"))
            }
        }

        data class Case(
            val name: String,
            val headers: Map<String, String> = mapOf("After" to "1", "Resumes" to "first"),
            val known: Map<String?, StreamOrigin> = emptyMap(),
            val findMillis: Long = 0,
            val kind: RouteKind = RouteKind.STREAM,
            val isShutDown: Boolean = false,
            val status: Int,
            val worker: String? = null,
            val asked: List<String?> = listOf("first"),
            val counted: List<String> = emptyList(),
        )
        val unknown = listOf("refused/stream_origin_unknown")
        listOf(
            Case(
                "goes on at the version and the service that it began with",
                known = mapOf("first" to StreamOrigin("t", "old")),
                status = 200,
                worker = "t/old",
                counted = listOf("taken_up/none"),
            ),
            Case("is refused if it is not known where it began", status = 503, counted = unknown),
            Case(
                "whose caller does not name the first request goes on where it can only have begun",
                headers = mapOf("After" to "1"),
                known = mapOf(null to StreamOrigin("s", "old")),
                status = 200,
                worker = "s/old",
                asked = listOf(null),
                counted = listOf("taken_up/none"),
            ),
            Case(
                "is refused if its route does not send requests to its service any more",
                known = mapOf("first" to StreamOrigin("removed", "old")),
                status = 503,
                counted = unknown,
            ),
            Case(
                "is refused if its version has no worker any more",
                known = mapOf("first" to StreamOrigin("s", "gone")),
                status = 503,
                counted = listOf("refused/no_worker"),
            ),
            Case(
                "is refused at the deadline if it is not known until then where it began",
                headers = mapOf("After" to "1", "Resumes" to "first", "Timeout" to "300"),
                findMillis = FIND_MILLIS,
                status = 503,
                counted = unknown,
            ),
            Case(
                "is refused if the node shuts down before it is known where it began",
                findMillis = FIND_MILLIS,
                isShutDown = true,
                status = 503,
            ),
            Case(
                "that begins goes to any worker",
                mapOf("Id" to "id"),
                status = 200,
                worker = "s/new",
                asked = emptyList(),
            ),
            Case(
                "is no stream on another route",
                kind = RouteKind.SAFE,
                status = 200,
                worker = "s/new",
                asked = emptyList(),
            ),
        ).forEach { case ->
            test("a stream ${case.name}") {
                val fixture = Fixture(FakeStreamOrigins(case.known, findMillis = case.findMillis))
                val startMillis = System.currentTimeMillis()
                val response = fixture.scope.async {
                    val port = fixture.start()
                    if (case.isShutDown) {
                        launch {
                            delay(SHORT_MILLIS)
                            fixture.server.drain(deregistrationMillis = SHORT_MILLIS, maximumMillis = 2 * SHORT_MILLIS)
                        }
                    }
                    fixture.send(port, "/${case.kind}/x", case.headers)
                }.await()
                (System.currentTimeMillis() - startMillis) shouldBeLessThan CALL_MILLIS
                response.status shouldBe case.status
                response.body shouldBe case.worker.orEmpty()
                (response.retryMillis != null) shouldBe (case.status == 503)
                fixture.reached.filterValues { it.requests.isNotEmpty() }.keys shouldBe setOfNotNull(case.worker)
                fixture.origins.asked shouldBe case.asked.map { it to setOf("s", "t") }
                fixture.registry.find("streams_resumed").counters()
                    .map { "${it.id.getTag("outcome")}/${it.id.getTag("reason")}" } shouldBe case.counted
                fixture.scope.cancel()
                fixture.vertx.close().coAwait()
            }
        }
    }) {
    private companion object {
        const val SHORT_MILLIS = 200L

        // Longer than any call may last, and long after that.
        const val CALL_MILLIS = 4_000L
        const val FIND_MILLIS = 8_000L
    }
}
