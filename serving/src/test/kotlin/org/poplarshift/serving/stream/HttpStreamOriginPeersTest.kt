package org.poplarshift.serving.stream

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import org.poplarshift.core.stream.StreamOrigin
import org.poplarshift.serving.fixture.FreePorts
import org.poplarshift.serving.fixture.TestTasks
import org.poplarshift.serving.fleet.FleetMember
import org.poplarshift.serving.peer.PeerClient
import org.poplarshift.serving.peer.PeerServer

/** Guards against origins that are changed or lost between two nodes, also when one has an earlier release. */
class HttpStreamOriginPeersTest :
    FunSpec({
        listOf(true, false).forEach { isServed ->
            test("another node ${if (isServed) "stores and returns origins" else "that has none does not respond"}") {
                val vertx = Vertx.vertx()
                val scope = CoroutineScope(SupervisorJob() + vertx.dispatcher())
                try {
                    val origins = mapOf("s" to StreamOrigin("x", "1"), "t" to StreamOrigin("x", "2"))
                    val stored = HashMap<String, StreamOrigin>()
                    val replica = FleetMember("b", "zone", "127.0.0.1:${FreePorts.take()}")
                    scope.async {
                        val peers = HttpStreamOriginPeers(PeerClient(vertx, "127.0.0.1"), "process")
                        val server = PeerServer(vertx, TestTasks.of(scope), TestTasks.clients())
                        if (isServed) peers.serve(server, stored::putAll, stored::get)
                        server.listen(replica.peerAddress)
                        peers.report(replica, origins) shouldBe if (isServed) "process" else null
                        stored shouldBe if (isServed) origins else emptyMap()
                        peers.find(replica, "t") shouldBe stored["t"]
                        peers.find(replica, "unknown") shouldBe null
                    }.await()
                } finally {
                    vertx.close().coAwait()
                }
            }
        }
    })
