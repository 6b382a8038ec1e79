package org.poplarshift.core.catalogue

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

/** Guards against requests that reach a route without meeting its rules, also through ambiguous paths (R4). */
class RouteTableTest :
    FunSpec({
        fun route(method: String, prefix: String) =
            CatalogueFixture.route.copy(id = prefix, method = method, pathPrefix = prefix)
        val table =
            RouteTable(listOf(route("GET", "/a"), route("GET", "/a/b"), route("POST", "/a/b/c"), route("GET", "/d/")))

        val matches = listOf(
            Triple("GET", "/a", "/a"),
            Triple("GET", "/a/x", "/a"),
            Triple("GET", "/ab", null),
            Triple("GET", "/a/b/c", "/a/b"),
            Triple("POST", "/a/b/c", "/a/b/c"),
            Triple("POST", "/a/b", null),
            Triple("GET", "/d/x", "/d/"),
            Triple("GET", "/d", null),
        )
        for ((method, path, expected) in matches) {
            test("$method $path matches $expected") { table.match(method, path)?.pathPrefix shouldBe expected }
        }

        val paths = mapOf(
            "/a/b.c/..d" to true,
            "/a%20b" to true,
            "/a/../b" to false,
            "/a/./b" to false,
            "/a/%2E./b" to false,
            "/a%2Fb" to false,
            "/a\\b" to false,
            "/a//b" to false,
            "/a;x/b" to false,
            "/a%252e" to false,
            "a" to false,
        )
        for ((path, expected) in paths) {
            test("$path is ${if (expected) "unambiguous" else "ambiguous"}") {
                RouteTable.isUnambiguous(path) shouldBe expected
            }
        }
    })
