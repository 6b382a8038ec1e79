package org.poplarshift.serving.peer

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.launch
import org.poplarshift.serving.fixture.FreePorts
import org.poplarshift.serving.fixture.TestTasks
import org.poplarshift.serving.fleet.FleetMember
import kotlin.time.Duration.Companion.seconds

/** Guards against a node that can send no more messages to another because abandoned ones hold all connections. */
class PeerClientTest :
    FunSpec({
        test("messages that are cancelled while they wait for a connection keep none") {
            val vertx = Vertx.vertx()
            val scope = CoroutineScope(SupervisorJob() + vertx.dispatcher())
            try {
                val peer = FleetMember("b", "zone", "127.0.0.1:${FreePorts.take()}")
                scope.async {
                    val server = PeerServer(vertx, TestTasks.of(scope), TestTasks.clients())
                    server.on("/x") { it }
                    server.listen(peer.peerAddress)
                    val client = PeerClient(vertx, "127.0.0.1")
                    repeat(CANCELLED) {
                        val message = scope.launch(start = CoroutineStart.UNDISPATCHED) {
                            client.post(peer, "/x", "message", RESPONSE_MILLIS)
                        }
                        message.cancelAndJoin()
                    }
                    eventually(5.seconds) { client.post(peer, "/x", "message", RESPONSE_MILLIS) shouldBe "message" }
                }.await()
            } finally {
                vertx.close().coAwait()
            }
        }
    }) {
    private companion object {
        const val CANCELLED = 40
        const val RESPONSE_MILLIS = 1_000L
    }
}
