package org.poplarshift.node.configuration

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.serialization.SerializationException
import org.poplarshift.core.configuration.Configuration
import org.poplarshift.core.configuration.ConfigurationRecord
import org.poplarshift.core.configuration.ConfigurationReducer
import org.poplarshift.core.configuration.ConfigurationResult
import org.poplarshift.core.configuration.ConfigurationResult.Applied
import org.poplarshift.core.configuration.KeyDirectory
import org.poplarshift.core.configuration.KeyEntry
import org.poplarshift.node.MonotonicClock
import org.poplarshift.node.log.LogFollower
import org.poplarshift.platform.LogRecord
import org.poplarshift.wire.LogEnvelope
import org.poplarshift.wire.WireJson

/** Keeps the newest configuration that the log or a peer has shown. */
class DefaultConfigurationStore(
    private val follower: LogFollower,
    private val clock: MonotonicClock,
    private val reducer: ConfigurationReducer = ConfigurationReducer(),
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

    /** Follows the log until cancelled. */
    suspend fun follow() = follower.follow { apply(it) }

    /** Takes over the configuration of a peer if it is newer. */
    fun adopt(configuration: Configuration) = install(reducer.adopt(current.value, configuration))

    /** Notes that at [currentAtMillis] of this node's clock no version after [version] was known to exist. */
    fun confirm(version: Long, currentAtMillis: Long) {
        if (version > current.value.version) return
        confirmedByPeerMillis = maxOf(confirmedByPeerMillis ?: currentAtMillis, currentAtMillis)
    }

    private fun apply(record: LogRecord) {
        val envelope = try {
            WireJson.lenient.decodeFromString(ENVELOPE, record.record)
        } catch (exception: SerializationException) {
            log.warn { "configuration: record ${record.offset} is not readable: ${exception.message}" }
            return
        }
        install(reducer.apply(current.value, record.offset, envelope.record))
    }

    private fun install(result: ConfigurationResult) {
        if (result !is Applied) {
            log.debug { "configuration: not applied: $result" }
            return
        }
        directory = KeyDirectory(result.configuration.keys)
        mutableCurrent.value = result.configuration
        log.info { "configuration: version ${result.configuration.version} is in force" }
    }

    private companion object {
        val log = KotlinLogging.logger {}
        val ENVELOPE = LogEnvelope.serializer(ConfigurationRecord.serializer())
    }
}
