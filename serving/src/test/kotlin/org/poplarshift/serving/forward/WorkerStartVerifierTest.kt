package org.poplarshift.serving.forward

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.withContext
import org.poplarshift.core.dispatch.FleetWorker
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.serving.fixture.PlainWorkerProtocol
import org.poplarshift.serving.fixture.RawRequest
import org.poplarshift.serving.fixture.RawResponses
import org.poplarshift.serving.fixture.RawStep
import org.poplarshift.serving.fixture.RawWorker
import org.poplarshift.serving.observe.UnusableResponseRecorder

/** Guards against connections that are taken for those of an earlier start of a worker, and against needless questions. */
class WorkerStartVerifierTest :
    FunSpec({
        fun whole(body: String, status: String = "200 OK"): (RawRequest) -> List<RawStep> = {
            listOf(RawStep.Write(RawResponses.head(it, status, RawResponses.length(body)) + body))
        }

        class Case(
            val name: String,
            val respond: (RawRequest) -> List<RawStep> = whole("1"),
            val isCritical: Boolean = false,
            val isDoubted: Boolean = false,
            val registryAgeMillis: Long = 0,
            val registeredStart: Long = 1,
            val earlier: FleetWorker.() -> FleetWorker? = { null },
            val expected: WorkerStart = WorkerStart.Registered,
            val questions: Int = 1,
        )

        listOf(
            Case("without a reason to ask", questions = 0),
            Case("of a doubted worker", isDoubted = true),
            Case("with an old registry", registryAgeMillis = 5_000),
            Case("of a critical stream", isCritical = true),
            Case("of a critical stream with an earlier connection", isCritical = true, earlier = {
                this
            }, questions = 0),
            Case("of a doubted worker with an earlier connection", isDoubted = true, earlier = { this }),
            Case(
                "of a critical stream with a connection to an earlier start",
                isCritical = true,
                earlier = { copy(startedMillis = 0) },
            ),
            Case("to another start", whole("2"), isDoubted = true, expected = WorkerStart.Other),
            Case("without a start", whole("?"), isDoubted = true, expected = WorkerStart.NotStated),
            Case("with an error", whole("1", "404 No"), isDoubted = true, expected = WorkerStart.NotStated),
            Case(
                "without a registered start",
                isDoubted = true,
                registeredStart = 0,
                expected = WorkerStart.NotStated,
                questions = 0,
            ),
            Case("with the end of the connection", {
                listOf(RawStep.Close)
            }, isDoubted = true, expected = WorkerStart.NoAnswer),
            Case("with bytes", {
                listOf(RawStep.Write("?\r\n\r\n"))
            }, isDoubted = true, expected = WorkerStart.NoAnswer),
            Case("with nothing", { emptyList() }, isDoubted = true, expected = WorkerStart.NoAnswer),
            Case("with a large body", whole("1".repeat(2_000_000)), isDoubted = true, expected = WorkerStart.NoAnswer),
            Case(
                "with a response that ends with the connection",
                { listOf(RawStep.Write(RawResponses.head(it) + "?"), RawStep.Close) },
                isDoubted = true,
                expected = WorkerStart.NoAnswer,
            ),
        ).forEach { case ->
            test("a connection ${case.name}") {
                val vertx = Vertx.vertx()
                withContext(vertx.dispatcher()) {
                    val server = RawWorker(vertx, startedMillis = null, respond = case.respond).listen()
                    val worker = FleetWorker(
                        "w",
                        "s",
                        server.address,
                        "z",
                        slots = 1,
                        isDraining = false,
                        startedMillis = case.registeredStart,
                        softwareVersion = "v",
                    )
                    val clock = MonotonicClock.SYSTEM
                    val pool =
                        WorkerConnectionPool(vertx, "127.0.0.1", clock, UnusableResponseRecorder(SimpleMeterRegistry()))
                    var registryAgeMillis = 0L
                    val verifier = WorkerStartVerifier(PlainWorkerProtocol, clock, pool.doubts) {
                        clock.millis() - registryAgeMillis
                    }
                    suspend fun verify(entry: FleetWorker, isCritical: Boolean) =
                        verifier.verify(checkNotNull(pool.acquire(entry, "r", true)), entry, isCritical, 500)
                    case.earlier(worker)?.let { verify(it, isCritical = false) }
                    if (case.isDoubted) pool.doubts.add("w")
                    registryAgeMillis = case.registryAgeMillis
                    verify(worker, case.isCritical) shouldBe case.expected
                    server.requests.size shouldBe case.questions
                    // A further answer is not needed for a start that is known, or after an answer without a start.
                    val isKnown = case.expected == WorkerStart.Registered || case.expected == WorkerStart.NotStated
                    if (isKnown && registryAgeMillis == 0L) {
                        verify(worker, case.isCritical) shouldBe case.expected
                        server.requests.size shouldBe case.questions
                    }
                }
                vertx.close().coAwait()
            }
        }
    })
