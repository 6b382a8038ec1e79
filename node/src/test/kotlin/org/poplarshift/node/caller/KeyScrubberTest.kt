package org.poplarshift.node.caller

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.vertx.core.MultiMap

/** Guards against keys that reach an upstream in an encoded or unexpected place (R5). */
class KeyScrubberTest :
    FunSpec({
        val key = "psk_" + "k".repeat(43)
        val other = "psk_" + "o".repeat(43)
        val scrubber = KeyScrubber(listOf(key, "legacy-key"))

        data class Case(val name: String, val value: String, val expected: String?)

        val cases = listOf(
            Case("Authorization", "Bearer $key", null),
            Case("authorization", "Basic abc", null),
            Case("X-API-KEY", "anything", null),
            Case("X-Note", "key=$key", null),
            Case("X-Note", "%70sk_" + "k".repeat(43), null),
            Case("X-Note", "a legacy-key here", null),
            Case("X-Note", "the key of someone else: $other", null),
            Case("X-Note", "psk_ is a prefix", "psk_ is a prefix"),
            Case("X-Note", "100%", "100%"),
            Case("Cookie", "a=1; k=$key; b=2", "a=1; b=2"),
            Case("Cookie", "k=$key", null),
            Case("X-$key", "1", null),
            Case("Accept", "text/event-stream", "text/event-stream"),
        )
        for (case in cases) {
            test("${case.name}: ${case.value} becomes ${case.expected}") {
                val headers = MultiMap.caseInsensitiveMultiMap().add(case.name, case.value)
                scrubber.scrub(headers).get(case.name) shouldBe case.expected
            }
        }

        test("query parameters with a key are removed") {
            scrubber.scrubQuery("a=1&key=$key&$key=1&b=%6Cegacy-key&c=2") shouldBe "a=1&c=2"
            scrubber.scrubQuery("key=$key") shouldBe null
            scrubber.scrubQuery(null) shouldBe null
        }
    })
