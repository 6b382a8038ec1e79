package org.poplarshift.standins.worker

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.core.net.NetSocket
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.delay
import org.poplarshift.standins.worker.ResponseFault.Moment

/** Guards against second responses that are not written, or not when and where they should be. */
class SecondResponseTest :
    FunSpec({
        timeout = 20_000
        val vertx = Vertx.vertx()
        afterSpec { vertx.close().coAwait() }

        val success = ResponseForm(ResponseForm.Content.SUCCESS)
        val failure = ResponseForm(ResponseForm.Content.FAILURE)
        val refusal = ResponseForm(ResponseForm.Content.REFUSAL)
        val earlier = ResponseForm(ResponseForm.Content.EARLIER)
        val close = ResponseForm.Framing.CLOSE

        data class Case(
            val name: String,
            val fault: ResponseFault,
            val firstRequest: List<String>,
            val secondRequest: List<String>,
            val isEngine: Boolean = false,
            val isComplete: Boolean = true,
        )

        // The second request is answered as usual. Each status stands with the id after it, if there is one.
        context("two requests on one connection get these responses") {
            withData(
                nameFn = { it.name },
                Case("none twice", ResponseFault.None, listOf("200 a"), listOf("200 b")),
                Case(
                    "the same at once",
                    ResponseFault.Twice(success, success, Moment.AT_ONCE),
                    listOf("200 a", "200 a"),
                    listOf("200 b"),
                ),
                Case(
                    "the same on the idle connection, without an id",
                    ResponseFault.Twice(success, success.copy(hasId = false), Moment.IDLE),
                    listOf("200 a", "200"),
                    listOf("200 b"),
                ),
                Case(
                    "a failure, then a success with the next request",
                    ResponseFault.Twice(failure, success, Moment.NEXT_REQUEST),
                    listOf("500 a"),
                    listOf("200 a", "200 b"),
                ),
                Case(
                    "a refusal again",
                    ResponseFault.Twice(refusal, refusal.copy(hasId = false), Moment.NEXT_REQUEST),
                    listOf("503 a"),
                    listOf("503", "200 b"),
                    isComplete = false,
                ),
                Case(
                    "the beginning of a head",
                    ResponseFault.Twice(
                        success,
                        earlier.copy(hasId = false, extent = ResponseForm.Extent.HeadBytes(0.2)),
                        Moment.NEXT_REQUEST,
                    ),
                    listOf("200 a"),
                    listOf("200", "200 b"),
                ),
                Case(
                    "a failure behind a body that the connection ends",
                    ResponseFault.Twice(success.copy(framing = close), failure, Moment.IDLE),
                    listOf("200 a", "500 a"),
                    emptyList(),
                    isComplete = false,
                ),
                Case(
                    "a stream twice",
                    ResponseFault.Twice(success, success, Moment.AT_ONCE),
                    listOf("200 a", "200 a"),
                    listOf("200 b"),
                    isEngine = true,
                ),
                Case(
                    "an error after a broken stream",
                    ResponseFault.Twice(
                        success.copy(extent = ResponseForm.Extent.BodyBytes(0.5)),
                        failure,
                        Moment.AT_ONCE,
                    ),
                    listOf("200 a", "500 a"),
                    emptyList(),
                    isEngine = true,
                    isComplete = false,
                ),
            ) { case ->
                val runs = ArrayList<WorkerRun>()
                val worker = RegisteredWorker(
                    vertx = vertx,
                    id = "w",
                    softwareVersion = "v1",
                    isEngine = case.isEngine,
                    slots = 8,
                    chooseFault = { if (it.uri == "/a") case.fault else ResponseFault.None },
                    onRun = { runs += it },
                )
                worker.paceMillis = 1
                worker.listen("127.0.0.1")
                val connection = RawConnection(vertx.createNetClient().connect(worker.port, "127.0.0.1").coAwait())
                connection.exchange("a") shouldBe case.firstRequest
                connection.exchange("b") shouldBe case.secondRequest
                val first = runs.firstOrNull { it.requestId == "a" }
                (first?.isComplete == true) shouldBe case.isComplete
                first?.status shouldBe case.firstRequest.first().take(3).toInt().takeIf { first != null }
                worker.crash()
            }
        }

        data class CrashCase(val framing: ResponseForm.Framing, val isReset: Boolean)

        context("a crash in the middle of a stream ends the connection with a reset only if it would end the body") {
            withData(
                nameFn = { "${it.framing}" },
                CrashCase(ResponseForm.Framing.CLOSE, isReset = true),
                CrashCase(ResponseForm.Framing.CHUNKS, isReset = false),
            ) { case ->
                val fault = ResponseFault.Twice(success.copy(framing = case.framing), failure, Moment.IDLE)
                val worker = RegisteredWorker(vertx, "w", "v1", isEngine = true, slots = 8, { fault }, onRun = {})
                worker.paceMillis = 200
                worker.listen("127.0.0.1")
                val connection = RawConnection(vertx.createNetClient().connect(worker.port, "127.0.0.1").coAwait())
                connection.exchange("a") shouldBe listOf("200 a")
                worker.crash()
                delay(250)
                connection.isOpen shouldBe false
                connection.isReset shouldBe case.isReset
            }
        }
    })

/** A connection to a worker that shows which responses arrive. */
private class RawConnection(private val socket: NetSocket) {
    private val received = StringBuilder()
    var isOpen = true
        private set
    var isReset = false
        private set

    init {
        socket.exceptionHandler { isReset = true }
        socket.handler { received.append(it.toString()) }
        socket.closeHandler { isOpen = false }
    }

    /** Sends a request with [id] and returns the status and id of all responses until the connection is quiet. */
    suspend fun exchange(id: String): List<String> {
        received.clear()
        if (!isOpen) return emptyList()
        socket.write("GET /$id HTTP/1.1\r\nX-Poplarshift-Request-Id: $id\r\n\r\n").coAwait()
        delay(QUIET_MILLIS)
        return RESPONSE.findAll(received).map { it.groupValues.drop(1).filter(String::isNotEmpty).joinToString(" ") }
            .toList()
    }

    private companion object {
        const val QUIET_MILLIS = 250L
        val RESPONSE = Regex("HTTP/1.1 (\\d{3})(?: Status\r\nX-Poplarshift-Request-Id: (\\w+))?")
    }
}
