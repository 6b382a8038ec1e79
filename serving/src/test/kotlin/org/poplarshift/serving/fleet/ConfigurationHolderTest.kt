package org.poplarshift.serving.fleet

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.poplarshift.serving.log.LogRecord

/** Guards against an evacuation that is missed, outlives its record, or is interrupted while the records are read anew. */
class ConfigurationHolderTest :
    FunSpec({
        class Fixture {
            val changes = ArrayList<Set<String>>()
            val holder = ConfigurationHolder(::decode, { changes += it })

            private fun decode(key: String, value: ByteArray): ConfigurationResult = if (key == "other") {
                ConfigurationResult.NotConfiguration
            } else {
                ConfigurationResult.Evacuation(key, value.isNotEmpty())
            }

            fun read(key: String, value: String = "{}") = holder.onRecord(LogRecord(0, key, value.encodeToByteArray()))

            fun readAnew(vararg zones: String) {
                holder.onRestart()
                zones.forEach { read(it) }
                holder.onCaughtUp()
            }
        }

        test("an evacuation is in force from its record to the removal of the record") {
            val fixture = Fixture()
            listOf("a", "b", "other").forEach { fixture.read(it) }
            fixture.read("a", "")
            fixture.changes shouldBe listOf(setOf("a"), setOf("a", "b"), setOf("b"))
        }

        test(
            "an evacuation whose record is gone when the records are read anew ends, and the others are not interrupted",
        ) {
            val fixture = Fixture()
            fixture.readAnew("a", "b")
            fixture.readAnew("b")
            fixture.changes shouldBe listOf(setOf("a", "b"), setOf("b"))
        }
    })
