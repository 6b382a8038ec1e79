package org.poplarshift.node.configuration

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.poplarshift.core.configuration.ConfigurationRecord
import org.poplarshift.core.configuration.ConfigurationRecord.ConfigurationSnapshot
import org.poplarshift.core.configuration.SnapshotPolicy
import org.poplarshift.node.NodeContext
import org.poplarshift.node.NodePart
import org.poplarshift.ports.AppendResult
import org.poplarshift.wire.LogEnvelope
import org.poplarshift.wire.LogStream
import org.poplarshift.wire.WireJson
import kotlin.random.Random
import kotlin.time.Duration.Companion.hours

/**
 * Appends a snapshot of the configuration before the log's retention removes the records that it was built from.
 *
 * Every node may write one. Each node waits a random time before it checks whether a snapshot is due, so usually one
 * node writes it and the others read it before their own check. Duplicate snapshots are harmless.
 */
class ConfigurationSnapshotWriter(
    private val context: NodeContext,
    private val store: DefaultConfigurationStore,
    private val checkPeriodMillis: Long = 30_000,
) : NodePart {
    private val policy = SnapshotPolicy(
        maximumAgeMillis =
        context.settings.platform.logRetentionHours.hours.inWholeMilliseconds / SNAPSHOTS_PER_RETENTION,
    )
    private var baseOffset: Long? = null
    private var baseFirstSeenMillis = 0L
    private var sequence = 0L

    override suspend fun start() {
        context.scope.launch {
            while (isActive) {
                delay(Random.nextLong(checkPeriodMillis / 2, checkPeriodMillis))
                appendIfDue()
            }
        }
    }

    private suspend fun appendIfDue() {
        val now = context.clock.millis()
        val base = store.baseOffset ?: return
        if (base != baseOffset) {
            baseOffset = base
            baseFirstSeenMillis = now
        }
        if (policy.isDue(base, now - baseFirstSeenMillis, store.nextOffset)) appendSnapshot()
    }

    private suspend fun appendSnapshot() {
        val snapshot = ConfigurationSnapshot(store.current.value)
        val envelope = LogEnvelope<ConfigurationRecord>(
            producer = context.incarnation,
            sequence = sequence++,
            record = snapshot,
        )
        val line = WireJson.lenient.encodeToString(ENVELOPE, envelope)
        val result = context.logService.append(LogStream.CONFIGURATION, line)
        if (result is AppendResult.Appended) {
            log.info {
                "configuration: wrote snapshot of version ${snapshot.configuration.version} at ${result.offset}"
            }
        } else {
            log.warn { "configuration: snapshot append is not confirmed: $result" }
        }
    }

    private companion object {
        val log = KotlinLogging.logger {}
        const val SNAPSHOTS_PER_RETENTION = 4
        val ENVELOPE = LogEnvelope.serializer(ConfigurationRecord.serializer())
    }
}
