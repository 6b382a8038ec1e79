package org.poplarshift.node.configuration

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import org.poplarshift.node.fixture.Fleet
import kotlin.time.Duration.Companion.seconds

/** Guards against a configuration that does not reach all nodes or is rolled back (R13). */
class ConfigurationReplicationTest :
    FunSpec({
        test("a node that can't reach the log receives the configuration and key withdrawals from peers") {
            Fleet().use { fleet ->
                val worker = fleet.worker()
                val connected = fleet.node("node-1")
                val cutOff = fleet.node("node-2", seedPeers = listOf(connected.peersAddress), isCutOff = true)
                fleet.publish(Fleet.catalogue(listOf(worker)))
                val key = fleet.issueKey("office")
                eventually(5.seconds) { cutOff.complete(key).statusCode() shouldBe 200 }

                fleet.withdrawKey("key-office")
                eventually(5.seconds) { cutOff.complete(key).statusCode() shouldBe 401 }
                connected.inspect("/status").body() shouldContain "\"node-2\""
            }
        }

        test("a node with a stale limit refuses keys once neither the log nor a peer confirms its configuration") {
            Fleet().use { fleet ->
                val worker = fleet.worker()
                val limited = fleet.node(staleLimitSeconds = 1)
                val unlimited = fleet.node("node-2")
                fleet.publish(Fleet.catalogue(listOf(worker)))
                val key = fleet.issueKey("office")
                limited.awaitVersion(1)
                unlimited.awaitVersion(1)
                limited.complete(key).statusCode() shouldBe 200
                limited.log.isCutOff = true
                unlimited.log.isCutOff = true
                eventually(5.seconds) { limited.complete(key).statusCode() shouldBe 503 }
                unlimited.complete(key).statusCode() shouldBe 200
            }
        }
    })
