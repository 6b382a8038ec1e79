package org.poplarshift.core.ingress

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

/** Guards against requests that are matched to a shorter prefix, another host or another organisation's key. */
class IngressConfigurationTest :
    FunSpec({
        fun route(name: String, host: String, prefix: String) = IngressRoute(
            name = name,
            host = host,
            pathPrefix = prefix,
            kind = RouteKind.SAFE,
            timeoutMillis = 1_000,
            targetLatencyMillis = 100,
            priority = 0,
            targets = listOf(WeightedService("service", 1.0)),
            maximumAttempts = 1,
        )
        val configuration = IngressConfiguration(
            version = 1,
            routes = listOf(
                route("short", "a.example", "/x/"),
                route("long", "a.example", "/x/y/"),
                route("other", "b.example", "/x/"),
            ),
            services = emptyMap(),
            limits = CallerLimits(1, 1, 1, 1),
            organisations = listOf(IngressOrganisation("one", setOf("key-1", "key-2"), null, 0.0, 0.0)),
        )

        data class Case(val host: String, val path: String, val expected: String?)
        listOf(
            Case("a.example", "/x/1", "short"),
            Case("a.example", "/x/y/1", "long"),
            Case("A.Example:8080", "/x/y/", "long"),
            Case("b.example", "/x/y/1", "other"),
            Case("a.example", "/x", null),
            Case("c.example", "/x/1", null),
        ).forEach { case ->
            test("${case.host}${case.path} is routed to ${case.expected}") {
                configuration.findRoute(case.host, case.path)?.name shouldBe case.expected
            }
        }

        test("a key identifies its organisation, an unknown or missing key does not") {
            configuration.findOrganisation("key-2")?.name shouldBe "one"
            configuration.findOrganisation("key-3") shouldBe null
            configuration.findOrganisation(null) shouldBe null
        }

        listOf("a" to setOf("a", "b"), "b" to setOf("a", "b", "c"), "d" to setOf("d")).forEach { (service, beside) ->
            test("a stream of a route to $service may have begun at $beside") {
                val routes = listOf(listOf("a", "b"), listOf("b", "c"), listOf("d")).map { targets ->
                    route("r", "a", "/")
                        .copy(kind = RouteKind.STREAM, targets = targets.map { WeightedService(it, 1.0) })
                }
                configuration.copy(routes = routes + route("safe", "a", "/"))
                    .servicesBeside(service) shouldBe beside
            }
        }

        test("targets receive requests in proportion to their weights") {
            val weighted = route(
                "w",
                "a",
                "/",
            ).copy(targets = listOf(WeightedService("a", 90.0), WeightedService("b", 10.0)))
            weighted.chooseService(0.0) shouldBe "a"
            weighted.chooseService(0.89) shouldBe "a"
            weighted.chooseService(0.91) shouldBe "b"
            weighted.chooseService(0.9999) shouldBe "b"
        }

        data class MoveCase(val name: String, val targets: Map<String, Double>, val expected: String?)
        listOf(
            MoveCase("is kept while the route has it", mapOf("old" to 1.0, "new" to 9.0), "old"),
            MoveCase("is replaced when the route has another one", mapOf("new" to 1.0), "new"),
            MoveCase("is replaced when its weight is 0", mapOf("old" to 0.0, "new" to 1.0), "new"),
            MoveCase("has no replacement when the route has none", emptyMap(), null),
        ).forEach { case ->
            test("the service of an accepted item ${case.name}") {
                val moved = route("m", "a", "/").copy(targets = case.targets.map { WeightedService(it.key, it.value) })
                moved.keepOrChooseService("old", random = 0.5) shouldBe case.expected
            }
        }

        test("a route is found by its name") {
            configuration.findRoute("long")?.pathPrefix shouldBe "/x/y/"
            configuration.findRoute("none") shouldBe null
        }
    })
