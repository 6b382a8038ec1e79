package org.poplarshift.node

import io.kotest.core.spec.style.FunSpec
import io.kotest.engine.spec.tempfile
import io.kotest.matchers.shouldBe
import org.poplarshift.platform.PlatformSettings

/** Guards against settings that are read again and stop the node, or that change what a running node can't change. */
class SettingsReloadTest :
    FunSpec({
        val file = tempfile(suffix = ".json")

        fun text(retentionSeconds: Int = 120, shutdownSeconds: Int = 8, callers: String = "127.0.0.1:1") =
            """{"name":"n","zone":"z","host":"127.0.0.1","processorShare":1.0,"processorSpeed":1.0,
            "callers":"$callers","readiness":"127.0.0.1:2","firstFreePort":3,
            "retentionSeconds":$retentionSeconds,"shutdownSeconds":$shutdownSeconds,
            "log":{"address":"127.0.0.1:9","recordBytes":1000,"callBytes":2000,"partitions":4,
            "shortestMembershipMillis":1000}}"""

        data class Case(val name: String, val text: String, val appliedRetentionMillis: List<Long>)
        listOf(
            Case("nothing has changed", text(), listOf(120_000)),
            Case("the retention has changed", text(retentionSeconds = 60), listOf(60_000)),
            Case("an address has changed", text(callers = "127.0.0.1:7"), listOf(120_000)),
            Case("the file is cut off", text().dropLast(1), emptyList()),
            Case("the file is empty", "", emptyList()),
            Case("a setting has the wrong type", text().replace("\"z\"", "[]"), emptyList()),
        ).forEach { case ->
            test("settings are read again: ${case.name}") {
                file.writeText(text())
                val applied = ArrayList<Long>()
                val reload = SettingsReload(file.toPath(), PlatformSettings.read(file.toPath()).getOrThrow()) {
                    applied += it.toServingSettings().retentionMillis
                }
                file.writeText(case.text)
                reload.reload()
                applied shouldBe case.appliedRetentionMillis
            }
        }

        test("a file that is gone changes nothing") {
            val applied = ArrayList<PlatformSettings>()
            file.writeText(text())
            val settings = PlatformSettings.read(file.toPath()).getOrThrow()
            SettingsReload(file.toPath().resolveSibling("none.json"), settings) { applied += it }.reload()
            applied shouldBe emptyList()
        }
    })
