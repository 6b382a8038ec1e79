package org.poplarshift.node.configuration

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.serialization.SerializationException
import org.poplarshift.core.configuration.Configuration
import org.poplarshift.core.configuration.ConfigurationRecord
import org.poplarshift.core.configuration.ConfigurationReplay
import org.poplarshift.core.configuration.ConfigurationResult
import org.poplarshift.core.configuration.KeyDirectory
import org.poplarshift.core.configuration.KeyEntry
import org.poplarshift.node.log.LogFollower
import org.poplarshift.ports.LogRecord
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.wire.LogEnvelope
import org.poplarshift.wire.WireJson

/** Holds the newest configuration received from the log or a peer. */
class DefaultConfigurationStore(
    private val follower: LogFollower,
    private val clock: MonotonicClock,
    private val replay: ConfigurationReplay = ConfigurationReplay(),
) : ConfigurationStore {
    private val mutableCurrent = MutableStateFlow(Configuration())
    private var directory = KeyDirectory(emptyList())
    private var confirmedByPeerMillis: Long? = null

    override val current: StateFlow<Configuration> = mutableCurrent

    override val ageMillis: Long?
        get() = listOfNotNull(follower.lastReadStartedMillis, confirmedByPeerMillis).maxOrNull()?.let {
            clock.millis() - it
        }

    override fun findKey(key: String): KeyEntry? = directory.find(key)

    /** The offset of the newest snapshot or, without one, of the first record; null before the first record. */
    val baseOffset: Long? get() = replay.baseOffset

    /** The offset after the newest record that was read. */
    val nextOffset: Long get() = follower.nextOffset

    /** Follows the log until cancelled. */
    suspend fun follow() = follower.follow { apply(it) }

    /** Replaces the current configuration by that of a peer if the latter is newer. */
    fun adopt(configuration: Configuration) = install(replay.adopt(configuration))

    /** Records that no version after [version] was known at [currentAtMillis] of this node's monotonic clock. */
    fun confirm(version: Long, currentAtMillis: Long) {
        if (version > current.value.version) return
        confirmedByPeerMillis = maxOf(confirmedByPeerMillis ?: currentAtMillis, currentAtMillis)
    }

    private fun apply(record: LogRecord) {
        val envelope = try {
            WireJson.lenient.decodeFromString(ENVELOPE, record.record)
        } catch (exception: SerializationException) {
            log.warn { "configuration: skipped undecodable record ${record.offset}: ${exception.message}" }
            return
        }
        install(replay.apply(record.offset, envelope.record))
    }

    private fun install(result: ConfigurationResult?) {
        val configuration = replay.configuration
        if (configuration.version == current.value.version) {
            log.debug { "configuration: version unchanged: $result" }
            return
        }
        directory = KeyDirectory(configuration.keys)
        mutableCurrent.value = configuration
        log.info { "configuration: version ${configuration.version} is in force" }
    }

    private companion object {
        val log = KotlinLogging.logger {}
        val ENVELOPE = LogEnvelope.serializer(ConfigurationRecord.serializer())
    }
}
