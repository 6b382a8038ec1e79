package org.poplarshift.serving.forward

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.vertx.core.http.HttpMethod
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.poplarshift.core.ingress.RouteKind
import org.poplarshift.serving.fixture.RawResponses
import org.poplarshift.serving.fixture.RawStep
import org.poplarshift.serving.fixture.TestFleet
import kotlin.time.Duration.Companion.seconds

/** Guards against nodes that take the crash of whole services for a cut from all workers. */
class CrashedServicesTest :
    FunSpec({
        test("the crash of all workers of two services leaves a third one alone") {
            val fleet = TestFleet()
            try {
                var requests = 0
                suspend fun start(service: String, count: Int) = List(count) { number ->
                    fleet.startRawWorker("$service$number", service, slots = 16) {
                        listOf(RawStep.Write(RawResponses.sound(it)))
                    }
                }
                val crashing = start("first", 2) + start("second", 2)
                start("service", 5)
                fleet.addRoute("/first/safe/", "first", RouteKind.SAFE)
                fleet.addRoute("/second/safe/", "second", RouteKind.SAFE)
                fleet.publishConfiguration()
                val nodes = List(3) { fleet.start("n$it", ownsBatch = it == 0) }
                suspend fun send(node: TestFleet.Node, path: String): Int? =
                    fleet.exchange(node.callersAddress, path, "r${requests++}").status
                nodes.forEach { node ->
                    eventually(10.seconds) {
                        fleet.sendRequest(node.readinessAddress, HttpMethod.GET, "/ready").statusCode() shouldBe 200
                        listOf("/first/safe/", "/second/safe/", "/safe/").forEach { send(node, it) shouldBe 200 }
                    }
                }
                delay(MEMBERS_MILLIS)
                fleet.onEventLoop { crashing.forEach { it.crash() } }
                val endMillis = System.currentTimeMillis() + CRASHED_MILLIS
                while (System.currentTimeMillis() < endMillis) {
                    for (node in nodes) {
                        listOf("/first/safe/", "/second/safe/").forEach {
                            withTimeoutOrNull(PATIENCE_MILLIS) { send(node, it) }
                        }
                        send(node, "/safe/") shouldBe 200
                        node.reachesWorkersDirectly shouldBe true
                    }
                }
            } finally {
                fleet.close()
            }
        }
    }) {
    private companion object {
        const val PATIENCE_MILLIS = 800L
        const val MEMBERS_MILLIS = 1_500L
        const val CRASHED_MILLIS = 3_000L
    }
}
