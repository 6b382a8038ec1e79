package org.poplarshift.core.configuration

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.poplarshift.core.catalogue.CatalogueFixture.catalogue
import org.poplarshift.core.configuration.ConfigurationRecord.CataloguePublished
import org.poplarshift.core.configuration.ConfigurationRecord.Companion.NO_VERSION
import org.poplarshift.core.configuration.ConfigurationRecord.ConfigurationSnapshot
import org.poplarshift.core.configuration.ConfigurationRecord.KeyIssued
import org.poplarshift.core.configuration.ConfigurationRecord.KeyWithdrawn

/** Guards against a configuration that is lost or wrong after retention has deleted the first records of the log. */
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

        test("a reader that starts at any retained offset builds the same configuration as a reader from offset 0") {
            // The snapshot of the first three records follows two later records, as if another node appended it late.
            val log = records + ConfigurationSnapshot(replay(records.take(3), start = 0))
            val expected = replay(log, start = 0)
            // The record at offset 3 is the first that the snapshot does not include.
            (0..3).forEach { start -> replay(log, start) shouldBe expected }
        }

        test("a reader that starts after offset 0 has no configuration without a snapshot") {
            replay(records, start = 1).catalogue shouldBe null
        }

        test("deferred records are applied after the configuration of a peer") {
            val replay = ConfigurationReplay()
            replay.apply(3, records[3])
            replay.adopt(replay(records.take(3), start = 0))
            replay.configuration shouldBe replay(records.take(4), start = 0)
        }

        data class Case(val baseAgeMillis: Long, val nextOffset: Long, val expected: Boolean)
        listOf(Case(0, 10, false), Case(1_000, 10, true), Case(0, 502, true), Case(999, 501, false)).forEach { case ->
            test(
                "isDue is ${case.expected} at age ${case.baseAgeMillis} ms and next offset ${case.nextOffset}",
            ) {
                SnapshotPolicy(maximumAgeMillis = 1_000).isDue(0, case.baseAgeMillis, case.nextOffset) shouldBe
                    case.expected
            }
        }
    })
