package org.poplarshift.node.configuration

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.poplarshift.core.configuration.ConfigurationRecord
import org.poplarshift.core.configuration.ConfigurationRecord.CataloguePublished
import org.poplarshift.core.configuration.ConfigurationRecord.KeyIssued
import org.poplarshift.core.configuration.ConfigurationRecord.KeyWithdrawn
import org.poplarshift.core.configuration.KeyDirectory
import org.poplarshift.node.fixture.Fleet
import org.poplarshift.node.log.LogFollower
import org.poplarshift.ports.LogRecord
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.wire.LogEnvelope
import org.poplarshift.wire.WireJson

/** Guards against a rollback when log records are applied after a newer configuration of a peer (R13). */
class DefaultConfigurationStoreTest :
    FunSpec({
        val records = listOf<ConfigurationRecord>(
            CataloguePublished(ConfigurationRecord.NO_VERSION, Fleet.catalogue(emptyList())),
            KeyIssued("first", "office", KeyDirectory.hash("key 1")),
            KeyWithdrawn("first"),
            KeyIssued("second", "office", KeyDirectory.hash("key 2")),
            KeyWithdrawn("unknown"),
        )

        /** Applies [records] and calls [afterEach] after each of them. */
        class ScriptedFollower(private val afterEach: () -> Unit) : LogFollower {
            override var nextOffset = 0L
            override val lastReadStartedMillis: Long? = null
            override val retentionStart = 0L

            override suspend fun follow(apply: suspend (LogRecord) -> Unit) = records.forEachIndexed { index, record ->
                val envelope = LogEnvelope(producer = "operator", sequence = index.toLong(), record = record)
                val serializer = LogEnvelope.serializer(ConfigurationRecord.serializer())
                apply(LogRecord(index.toLong(), WireJson.strict.encodeToString(serializer, envelope)))
                afterEach()
            }

            override suspend fun awaitApplied(offset: Long) = Unit
        }

        test("records older than an adopted configuration change nothing") {
            val peer = DefaultConfigurationStore(ScriptedFollower { }, MonotonicClock.SYSTEM)
            peer.follow()
            peer.current.value.version shouldBe 4

            val versions = mutableListOf<Long>()
            lateinit var store: DefaultConfigurationStore
            store = DefaultConfigurationStore(
                ScriptedFollower { versions += store.current.value.version },
                MonotonicClock.SYSTEM,
            )
            store.adopt(peer.current.value)
            store.follow()
            versions shouldBe List(5) { 4L }
            store.findKey("key 1") shouldBe null
            store.findKey("key 2")?.keyId shouldBe "second"
        }

        test("an older configuration of a peer changes nothing") {
            val store = DefaultConfigurationStore(ScriptedFollower { }, MonotonicClock.SYSTEM)
            store.follow()
            store.adopt(store.current.value.copy(version = 1, withdrawn = emptySet()))
            store.current.value.version shouldBe 4
        }
    })
