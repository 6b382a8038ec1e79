package org.poplarshift.serving

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.vertx.core.http.HttpMethod
import kotlinx.coroutines.delay
import org.poplarshift.serving.fixture.RawRequest
import org.poplarshift.serving.fixture.RawResponses
import org.poplarshift.serving.fixture.RawStep
import org.poplarshift.serving.fixture.RawWorker
import org.poplarshift.serving.fixture.TestFleet
import kotlin.time.Duration.Companion.seconds

/** Guards against requests and items that reach workers of an evacuated zone or of a region that is not allowed. */
class ZonesTest :
    FunSpec({
        // Breaks streams off behind their first event, so that they are resumed.
        fun breakOff(request: RawRequest): List<RawStep> = if (request.path.startsWith("/stream/") &&
            request.after == 0
        ) {
            val head = RawResponses.head(request, more = RawResponses.STAMP + RawResponses.CHUNKED)
            listOf(RawStep.Write(head + RawResponses.chunk(RawResponses.event(1, request.id))), RawStep.Reset)
        } else {
            listOf(RawStep.Write(RawResponses.sound(request)))
        }

        class Fixture {
            val fleet = TestFleet()
            val workers = HashMap<String, RawWorker>()
            val nodes = ArrayList<TestFleet.Node>()
            private var sent = 0

            suspend fun start() {
                fleet.zones = mapOf("here" to "north", "there" to "south")
                for (id in listOf("here-1", "here-2", "there-1", "there-2")) {
                    workers[id] =
                        fleet.startRawWorker(id, "service", slots = 4, id.substringBefore('-')) { breakOff(it) }
                }
                fleet.publishConfiguration()
                for (zone in listOf("here", "there")) nodes += fleet.start("$zone-node", zone == "here", zone)
                for (node in nodes) {
                    eventually(10.seconds) {
                        fleet.sendRequest(node.readinessAddress, HttpMethod.GET, "/ready").statusCode() shouldBe 200
                    }
                }
            }

            fun received(zone: String): List<String> =
                workers.filterKeys { it.startsWith("$zone-") }.values.flatMap { it.requests }.map { it.path }

            /** Sends requests of all kinds to both nodes and returns the statuses. */
            suspend fun sendAll(): List<Int?> = nodes.flatMap { node ->
                listOf("/safe/x", "/unsafe/x", "/stream/x", "/batch/s${sent++}").map { path ->
                    val id = if (path.startsWith("/batch/")) path.substringAfterLast('/') else "r${sent++}"
                    fleet.exchange(node.callersAddress, path, id, body = id).status
                }
            }
        }

        suspend fun withFleet(use: suspend (Fixture) -> Unit) {
            val fixture = Fixture()
            try {
                fixture.start()
                use(fixture)
            } finally {
                fixture.fleet.close()
            }
        }

        test("no request, item or resumed stream reaches an evacuated zone, until the evacuation ends") {
            withFleet { fixture ->
                fixture.sendAll()
                fixture.received("there") shouldNotBe emptyList<String>()
                fixture.fleet.evacuate("there", isInForce = true)
                delay(NOTICE_MILLIS)
                val before = fixture.received("there").size
                val itemsBefore = fixture.received("here").count { it == "/run" }
                repeat(5) { fixture.sendAll().toSet() shouldBe setOf(200, 202) }
                eventually(5.seconds) { fixture.received("here").count { it == "/run" } shouldBe itemsBefore + 10 }
                withClue(fixture.received("there").drop(before)) { fixture.received("there").size shouldBe before }
                fixture.fleet.evacuate("there", isInForce = false)
                eventually(5.seconds) {
                    fixture.sendAll()
                    fixture.received("there").size shouldNotBe before
                }
            }
        }

        test("a service whose only zone is evacuated refuses requests as not run") {
            withFleet { fixture ->
                listOf("here", "there").forEach { fixture.fleet.evacuate(it, isInForce = true) }
                delay(NOTICE_MILLIS)
                fixture.sendAll().toSet() shouldBe setOf(503, 202)
                (fixture.received("here") + fixture.received("there")) shouldBe emptyList<String>()
            }
        }

        data class RegionCase(val name: String, val ofRoutes: Set<String>?, val ofTenant: Set<String>?)
        listOf(
            RegionCase("of the routes", setOf("south"), null),
            RegionCase("of the organisation", null, setOf("south")),
            RegionCase("of both", setOf("south", "north"), setOf("south")),
        ).forEach { case ->
            test("requests and items reach only workers in the regions ${case.name}") {
                withFleet { fixture ->
                    fixture.fleet.allowRegions(case.ofRoutes, case.ofTenant)
                    delay(NOTICE_MILLIS)
                    repeat(5) { fixture.sendAll().toSet() shouldBe setOf(200, 202) }
                    eventually(5.seconds) {
                        fixture.received("there").count { it == "/run" } shouldBe 10
                    }
                    fixture.received("here") shouldBe emptyList<String>()
                }
            }
        }

        test("requests that no region is allowed to run are refused as not run") {
            withFleet { fixture ->
                fixture.fleet.allowRegions(setOf("north"), setOf("south"))
                delay(NOTICE_MILLIS)
                fixture.sendAll().toSet() shouldBe setOf(503, 202)
                (fixture.received("here") + fixture.received("there")) shouldBe emptyList<String>()
            }
        }
    }) {
    private companion object {
        // Shorter than the 5 s after which the store's operator relies on an evacuation.
        const val NOTICE_MILLIS = 1_000L
    }
}
