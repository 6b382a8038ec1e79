package org.poplarshift.core.configuration

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.poplarshift.core.catalogue.CatalogueFixture.catalogue
import org.poplarshift.core.configuration.ConfigurationRecord.CataloguePublished
import org.poplarshift.core.configuration.ConfigurationRecord.Companion.NO_VERSION
import org.poplarshift.core.configuration.ConfigurationRecord.ConfigurationSnapshot
import org.poplarshift.core.configuration.ConfigurationRecord.KeyIssued
import org.poplarshift.core.configuration.ConfigurationRecord.KeyWithdrawn

/** Guards against a configuration that is lost or differs when retention has dropped the first records. */
class ConfigurationReplayTest :
    FunSpec({
        val records =
            listOf(
                CataloguePublished(basedOn = NO_VERSION, catalogue = catalogue),
                KeyIssued(keyId = "k1", organisation = "office", sha256 = "h1"),
                KeyIssued(keyId = "k2", organisation = "office", sha256 = "h2"),
                KeyWithdrawn("k1"),
                KeyIssued(keyId = "k3", organisation = "office", sha256 = "h3"),
            )

        fun replay(entries: List<ConfigurationRecord>, start: Int): Configuration {
            val replay = ConfigurationReplay()
            entries.forEachIndexed { offset, record -> if (offset >= start) replay.apply(offset.toLong(), record) }
            return replay.configuration
        }

        test("a reader that starts at any retention start gets the configuration of a reader from the beginning") {
            // The snapshot of the first three records arrives after two more, as when another node appends it late.
            val log = records + ConfigurationSnapshot(replay(records.take(3), start = 0))
            val expected = replay(log, start = 0)
            // Offset 3 is the first record that the snapshot does not contain.
            (0..3).forEach { start -> replay(log, start) shouldBe expected }
        }

        test("without a snapshot a reader that missed the beginning has no configuration") {
            replay(records, start = 1).catalogue shouldBe null
        }

        test("records that wait are applied after the configuration of a peer") {
            val replay = ConfigurationReplay()
            replay.apply(3, records[3])
            replay.adopt(replay(records.take(3), start = 0))
            replay.configuration shouldBe replay(records.take(4), start = 0)
        }

        data class Case(val baseAgeMillis: Long, val nextOffset: Long, val expected: Boolean)
        listOf(Case(0, 10, false), Case(1_000, 10, true), Case(0, 502, true), Case(999, 501, false)).forEach { case ->
            test(
                "a snapshot of age ${case.baseAgeMillis} ms before offset ${case.nextOffset}: due is ${case.expected}",
            ) {
                SnapshotPolicy(maximumAgeMillis = 1_000).isDue(0, case.baseAgeMillis, case.nextOffset) shouldBe
                    case.expected
            }
        }
    })
