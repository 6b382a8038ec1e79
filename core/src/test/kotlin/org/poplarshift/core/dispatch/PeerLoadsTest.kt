package org.poplarshift.core.dispatch

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

/** Guards against stale loads of stopped nodes, which would keep slots of the workers unused forever. */
class PeerLoadsTest :
    FunSpec({
        test("the latest load of each node counts until it expires") {
            val worker =
                FleetWorker("w", "service", "10.0.0.1:80", "here", slots = 8, isDraining = false, startedMillis = 1)
            val balancer = LoadBalancer("here").apply { update(listOf(worker)) }
            val loads = PeerLoads()
            loads.onLoad(
                NodeLoad("a", "here", mapOf("w" to 5), emptyMap(), mapOf("service" to 2), reachesLog = false),
                nowMillis = 0,
            )
            loads.onLoad(
                NodeLoad("a", "here", mapOf("w" to 3), emptyMap(), mapOf("service" to 1), reachesLog = true),
                nowMillis = 100,
            )
            loads.onLoad(
                NodeLoad("b", "here", mapOf("w" to 1), mapOf("w" to 2), emptyMap(), reachesLog = false),
                nowMillis = 500,
            )
            loads.applyTo(balancer, nowMillis = 600)
            balancer.stateOf("w")?.peersOnline shouldBe 4
            balancer.stateOf("w")?.peersBatch shouldBe 2
            loads.waitingRequests("service") shouldBe 1
            loads.nodesReachingLog shouldBe setOf("a")
            loads.applyTo(balancer, nowMillis = 800)
            balancer.stateOf("w")?.peersOnline shouldBe 1
            loads.waitingRequests("service") shouldBe 0
            loads.nodesReachingLog shouldBe emptySet()
        }
    })
