package org.poplarshift.node.caller

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import org.poplarshift.core.catalogue.Organisation
import org.poplarshift.core.catalogue.Route
import org.poplarshift.node.fixture.Fleet
import org.poplarshift.node.fixture.RunningNode

/** Guards against requests that run for the wrong organisation (R4) and keys that reach an upstream (R5). */
class CallerKeysTest :
    FunSpec({
        test("a request runs only with a key of an organisation that may use the upstream") {
            Fleet().use { fleet ->
                val engine = fleet.worker()
                val service = fleet.worker()
                val node = fleet.node()
                val base = Fleet.catalogue(listOf(engine), listOf(service))
                val writer = base.upstreams[0].copy(organisations = listOf("office"))
                val private = Route("p", "shops", "GET", "/stock", "app", organisations = listOf("shop"))
                val open = Route("o", "shops", "GET", "/stock/public", "app", open = true)
                fleet.publish(base.copy(upstreams = listOf(writer, base.upstreams[1]), routes = listOf(private, open)))
                val office = fleet.issueKey("office")
                val shop = fleet.issueKey("shop")
                node.awaitVersion(2)

                data class Case(val path: String, val key: String?, val status: Int)
                val cases = listOf(
                    Case("/stock/7", null, 401),
                    Case("/stock/7", "psk_unknown", 401),
                    Case("/stock/7", office, 403),
                    Case("/stock/7", shop, 200),
                    Case("/stock/public/7", null, 200),
                    Case("/stock/public/../7", null, 400),
                    Case("/stock/public/%2e%2E/7", null, 400),
                    Case("/stock/public%2f..%2f7", null, 400),
                    Case("/stockroom", shop, 404),
                )
                for (case in cases) node.call("GET", case.path, case.key).statusCode() shouldBe case.status
                service.runs.map { it.uri } shouldBe listOf("/stock/7", "/stock/public/7")

                node.complete(null).statusCode() shouldBe 401
                node.complete(shop).statusCode() shouldBe 403
                engine.runs.shouldBeEmpty()
                node.complete(office).statusCode() shouldBe 200
                engine.runs shouldHaveSize 1
                node.call("GET", "/v1/models", office).body() shouldContain "\"writer\""
                node.call("GET", "/v1/models", shop).body() shouldNotContain "\"writer\""
            }
        }

        test("no header, cookie or query parameter carries a key to an upstream") {
            Fleet().use { fleet ->
                val service = fleet.worker()
                val node = fleet.node()
                val route = Route("p", "shops", "GET", "/stock", "app")
                fleet.publish(Fleet.catalogue(emptyList(), listOf(service)).copy(routes = listOf(route)))
                val key = fleet.issueKey("shop")
                node.awaitVersion(1)

                val encoded = key.replace("psk_", "%70sk%5F")
                val headers = mapOf(
                    "X-Api-Key" to key,
                    "Cookie" to "a=1; session=$key; b=$encoded",
                    "Referer" to "http://shop/?key=$key",
                    "X-Colour" to "blue",
                )
                node.call("GET", "/stock?size=2&api_key=$key&k=$encoded", key, headers = headers).statusCode() shouldBe
                    200
                val seen = service.runs.single()
                seen.uri shouldBe "/stock?size=2"
                seen.headers.get("Cookie") shouldBe "a=1"
                seen.headers.get("X-Colour") shouldBe "blue"
                (seen.headers.joinToString() + seen.uri) shouldNotContain key.drop(4)
            }
        }

        test("a key in the path or body is refused") {
            Fleet().use { fleet ->
                val engine = fleet.worker()
                val node = fleet.node()
                fleet.publish(Fleet.catalogue(listOf(engine)))
                val key = fleet.issueKey("shop")
                node.awaitVersion(1)

                node.complete(key, RunningNode.COMPLETION.replace("a quilt", key)).statusCode() shouldBe 400
                engine.runs.shouldBeEmpty()
            }
        }

        test("an online request of an organisation for batch jobs only is refused") {
            Fleet().use { fleet ->
                val engine = fleet.worker()
                val node = fleet.node()
                val base = Fleet.catalogue(listOf(engine))
                val nightly = Organisation(
                    id = "nightly",
                    owner = "models",
                    ratePerSecond = 9.0,
                    burst = 9.0,
                    organisationClass = org.poplarshift.core.catalogue.OrganisationClass.BATCH_ONLY,
                )
                fleet.publish(base.copy(organisations = base.organisations + nightly))
                val key = fleet.issueKey("nightly")
                node.awaitVersion(1)
                node.complete(key).statusCode() shouldBe 403
                engine.runs.shouldBeEmpty()
            }
        }
    })
