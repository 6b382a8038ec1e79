package org.poplarshift.serving.forward

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import io.vertx.core.Vertx
import io.vertx.core.net.NetSocket
import io.vertx.kotlin.coroutines.coAwait
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import org.poplarshift.core.dispatch.FleetWorker
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.serving.observe.UnusableResponseRecorder

/**
 * Guards against a connection from the pool on which bytes have arrived that belong to no request, also when no request
 * has been sent on it, as on the connection of a probe.
 */
class WorkerConnectionPoolTest :
    FunSpec({
        data class Case(val name: String, val bytes: String, val isUsedAgain: Boolean = false)
        listOf(
            Case("no bytes", "", isUsedAgain = true),
            Case("one byte", "H"),
            Case("the beginning of a response", "HTTP/1.1 200 OK\r\nId: "),
            Case("a response", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
        ).forEach { case ->
            test("a connection that has received ${case.name} in the pool is used again: ${case.isUsedAgain}") {
                val vertx = Vertx.vertx()
                val scope = CoroutineScope(SupervisorJob() + vertx.dispatcher())
                val registry = SimpleMeterRegistry()
                scope.async {
                    val sockets = ArrayList<NetSocket>()
                    val server = vertx.createNetServer().connectHandler {
                        sockets += it
                    }.listen(0, "127.0.0.1").coAwait()
                    val address = "127.0.0.1:${server.actualPort()}"
                    val worker =
                        FleetWorker("w", "s", address, "here", slots = 1, isDraining = false, startedMillis = 1)
                    val pool =
                        WorkerConnectionPool(
                            DirectWorkerConnector(vertx, "127.0.0.1"),
                            MonotonicClock.SYSTEM,
                            UnusableResponseRecorder(registry),
                        )
                    val first = pool.acquire(worker, "r", mayRepeat = true).shouldNotBeNull()
                    val other = pool.acquire(worker, "r", mayRepeat = true).shouldNotBeNull()
                    delay(EVENT_MILLIS)
                    pool.release(other, keepAliveMillis = null)
                    pool.release(first, keepAliveMillis = null)
                    if (case.bytes.isNotEmpty()) sockets[0].write(case.bytes).coAwait()
                    delay(EVENT_MILLIS)
                    // The connection that was returned last is taken first.
                    (pool.acquire(worker, "r", mayRepeat = true) === if (case.isUsedAgain) first else other) shouldBe
                        true
                    first.isClosed shouldBe !case.isUsedAgain
                    other.isClosed shouldBe false
                    pool.connectionsOpened shouldBe 2
                }.await()
                val unusable = registry.find(
                    "worker_responses_unusable",
                ).tag("reason", "bytes_without_request").counter()
                (unusable?.count() ?: 0.0) shouldBe if (case.isUsedAgain) 0.0 else 1.0
                scope.cancel()
                vertx.close().coAwait()
            }
        }
    }) {
    private companion object {
        // Longer than bytes need on the loopback interface.
        const val EVENT_MILLIS = 100L
    }
}
