package org.poplarshift.serving

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.core.http.HttpMethod
import io.vertx.kotlin.coroutines.coAwait
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.withTimeout
import org.poplarshift.serving.fixture.FreePorts
import org.poplarshift.serving.fixture.TestFleet
import org.poplarshift.serving.fixture.TestTasks
import org.poplarshift.serving.peer.PeerServer
import kotlin.time.Duration.Companion.seconds

/** Guards against callers and other nodes that wait for a response until their time limit because a task has failed. */
class FailedCallTest :
    FunSpec({
        listOf(
            IllegalStateException("planned"),
            NotImplementedError("planned"),
            OutOfMemoryError("planned"),
            CancellationException("planned"),
        ).forEach { failure ->
            test("a call that fails with $failure gets a response and is counted") {
                val fleet = TestFleet()
                try {
                    fleet.publishConfiguration()
                    val node = fleet.start("a")
                    eventually(5.seconds) {
                        fleet.sendRequest(node.callersAddress, HttpMethod.GET, "/results/none").statusCode() shouldBe
                            404
                    }
                    fleet.planned.failure = { failure }
                    fleet.planned.brokenCalls += "append submissions"
                    val response = fleet.sendRequest(node.callersAddress, HttpMethod.POST, "/batch/s", "item")
                    response.statusCode() shouldBe 500
                    node.failuresOf("call") shouldBe 1
                    fleet.planned.brokenCalls.clear()
                    fleet.sendRequest(node.callersAddress, HttpMethod.POST, "/batch/s", "item").statusCode() shouldBe
                        202
                } finally {
                    fleet.close()
                }
            }
        }

        test("a message of another node whose handler fails gets a response") {
            val vertx = Vertx.vertx()
            val scope = CoroutineScope(SupervisorJob() + vertx.dispatcher())
            try {
                val port = FreePorts.take()
                scope.async {
                    val server = PeerServer(vertx, TestTasks.of(scope), TestTasks.clients())
                    server.on("/x") { error("planned") }
                    server.listen("127.0.0.1:$port")
                    val request = vertx.createHttpClient().request(HttpMethod.POST, port, "127.0.0.1", "/x").coAwait()
                    withTimeout(RESPONSE_MILLIS) { request.send("message").coAwait().statusCode() } shouldBe 500
                }.await()
            } finally {
                vertx.close().coAwait()
            }
        }
    }) {
    private companion object {
        const val RESPONSE_MILLIS = 5_000L
    }
}
