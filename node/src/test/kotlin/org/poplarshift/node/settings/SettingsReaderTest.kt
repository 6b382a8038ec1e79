package org.poplarshift.node.settings

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.poplarshift.core.routing.RoutingPolicyChoice
import java.nio.file.Path

/** Guards against settings that are accepted although a field is misspelt, missing or out of range. */
class SettingsReaderTest :
    FunSpec({
        val minimal = """"vm":"v","availabilityZone":"z","callersAddress":"127.0.0.1:1","peersAddress":"[::1]:2",""" +
            """"platform":{"logAddress":"127.0.0.1:3","vmListAddress":"127.0.0.1:3","weightStoreAddress":"127.0.0.1:3"}"""
        val reader = SettingsReader()

        test("a minimal file has the defaults") {
            val settings = reader.parse("f", "{$minimal}").shouldBeInstanceOf<SettingsResult.Valid>().settings
            settings.limits shouldBe LimitSettings()
            settings.shutdown.listLagMillis shouldBe 5_000
            settings.quotaMode shouldBe QuotaMode.FLEET
        }

        test("every field can be set") {
            val text = """{$minimal,"seedPeers":["127.0.0.1:4"],"limits":{"bodyBytes":2048},"logFormat":"json",""" +
                """"routing":{"type":"periodicWeights","periodSeconds":5},"batchControl":false,"quotaMode":"local",""" +
                """"configuration":{"staleLimitSeconds":9},"shutdown":{"listLagMillis":1}}"""
            val settings = reader.parse("f", text).shouldBeInstanceOf<SettingsResult.Valid>().settings
            settings.routing shouldBe RoutingPolicyChoice.PeriodicWeights(5)
            settings.quotaMode shouldBe QuotaMode.LOCAL
        }

        data class Case(val text: String, val path: String, val found: String)

        val cases = listOf(
            Case("{", "", "Unexpected JSON token"),
            Case("{$minimal,\"vmm\":1}", "vmm", "an unknown field"),
            Case("{${minimal.replace("\"vm\":\"v\",", "")}}", "vm", "no value"),
            Case("{$minimal,\"limits\":{\"bodyBytes\":\"big\"}}", "limits.bodyBytes", "\"big\""),
            Case("{$minimal,\"limits\":{\"bodyBytes\":3}}", "limits.bodyBytes", "3"),
            Case("{$minimal,\"limits\":{\"itemByte\":3}}", "limits.itemByte", "an unknown field"),
            Case("{$minimal,\"seedPeers\":[\"localhost:1\"]}", "seedPeers.0", "\"localhost:1\""),
            Case("{$minimal,\"quotaMode\":\"both\"}", "quotaMode", "\"both\""),
            Case("{$minimal,\"routing\":{\"type\":\"roundRobin\",\"periodSeconds\":7}}", "routing.periodSeconds", "7"),
        )
        for (case in cases) {
            test("${case.text.takeLast(50)} names the field ${case.path}") {
                val problems = reader.parse("f", case.text).shouldBeInstanceOf<SettingsResult.Invalid>().problems
                problems shouldHaveSize 1
                problems[0].path shouldBe case.path
                problems[0].found.take(case.found.length) shouldBe case.found
                problems[0].file shouldBe "f"
            }
        }

        test("a file that does not exist is a problem, not an exception") {
            reader.read(Path.of("/nonexistent/settings.json")).shouldBeInstanceOf<SettingsResult.Invalid>()
        }
    })
