package org.poplarshift.serving.peer

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import org.poplarshift.core.submission.KeyedValue
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.serving.fixture.FakeLog
import org.poplarshift.serving.fixture.FreePorts
import org.poplarshift.serving.fixture.TestTasks
import org.poplarshift.serving.fleet.FleetMember
import org.poplarshift.serving.log.PartitionedLog
import org.poplarshift.serving.log.ReadResult
import org.poplarshift.serving.log.RelayedLog

/** Guards against nodes that make an overloaded log send a page through another node where one record is needed. */
class PeerLogRelayTest :
    FunSpec({
        test("a single record that is read through another node costs the log no more than read directly") {
            val vertx = Vertx.vertx()
            val scope = CoroutineScope(SupervisorJob() + vertx.dispatcher())
            val limits = ArrayList<Int?>()
            val stored = FakeLog()
            val logOfPeer = object : PartitionedLog by stored {
                override suspend fun read(topic: String, partition: Int, from: Long, waitMillis: Long): ReadResult =
                    stored.read(topic, partition, from, waitMillis).also { limits += null }

                override suspend fun readAt(topic: String, partition: Int, offset: Long, valueBytes: Int): ReadResult =
                    stored.readAt(topic, partition, offset, valueBytes).also { limits += valueBytes }
            }
            try {
                val peer = FleetMember("b", "zone", "127.0.0.1:${FreePorts.take()}")
                scope.async {
                    val relay = PeerLogRelay(PeerClient(vertx, "127.0.0.1"), MonotonicClock.SYSTEM) { listOf(peer) }
                    val server = PeerServer(vertx, TestTasks.of(scope), TestTasks.clients())
                    relay.serve(server, logOfPeer)
                    server.listen(peer.peerAddress)
                    stored.append("topic", 0, listOf("a", "b").map { KeyedValue(it, byteArrayOf(1, 2)) })
                    val log = RelayedLog(FakeLog().apply { isDown = true }, relay, MonotonicClock.SYSTEM)
                    val result = log.readAt("topic", 0, offset = 1, valueBytes = 2) as ReadResult.Records
                    result.records.map { it.key } shouldBe listOf("b")
                    log.read("topic", 0, from = 0, waitMillis = 0)
                }.await()
                limits shouldBe listOf(2, null)
            } finally {
                vertx.close().coAwait()
            }
        }
    })
