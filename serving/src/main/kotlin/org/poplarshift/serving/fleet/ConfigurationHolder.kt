package org.poplarshift.serving.fleet

import io.github.oshai.kotlinlogging.KotlinLogging
import org.poplarshift.core.ingress.IngressConfiguration
import org.poplarshift.serving.log.LogRecord
import org.poplarshift.serving.log.RecordReceiver

/** The outcome of decoding an operator's record. */
sealed interface ConfigurationResult {
    /** The record is a valid configuration. */
    data class Valid(val configuration: IngressConfiguration) : ConfigurationResult

    /** The record states whether [zone] is evacuated. The removal of the record ends the evacuation. */
    data class Evacuation(val zone: String, val isInForce: Boolean) : ConfigurationResult

    /** The record is not a configuration. */
    data object NotConfiguration : ConfigurationResult

    /** The record is a configuration that can't be decoded or is not valid. */
    data class Invalid(val reason: String) : ConfigurationResult
}

/**
 * Holds the newest configuration that this node has read, and the zones that are evacuated. Older versions are ignored.
 *
 * @param decode decodes a record from its key and value, which is empty if the record removes its key
 * @param onEvacuation called with all evacuated zones when they have changed
 * @param onChange called after a new configuration has come into force
 */
class ConfigurationHolder(
    private val decode: (String, ByteArray) -> ConfigurationResult,
    private val onEvacuation: (Set<String>) -> Unit = {},
    private val onChange: (IngressConfiguration) -> Unit = {},
) : RecordReceiver {
    /** The configuration in force, or null if none has been read yet. */
    var current: IngressConfiguration? = null
        private set

    /** The zones whose workers must not get new requests. */
    var evacuatedZones: Set<String> = emptySet()
        private set

    private val readZones = LinkedHashSet<String>()
    private var isRestarting = false

    // The current configuration stays in force until a newer one has been read, and an evacuation until all records have
    // been read without its record.
    override fun onRestart() {
        isRestarting = true
        readZones.clear()
    }

    override fun onCaughtUp() {
        isRestarting = false
        updateEvacuation()
    }

    override fun onRecord(record: LogRecord) {
        val result = decode(record.key, record.value)
        if (record.isDeletion && result !is ConfigurationResult.Evacuation) return
        when (result) {
            ConfigurationResult.NotConfiguration -> Unit
            is ConfigurationResult.Evacuation -> {
                if (result.isInForce) readZones += result.zone else readZones -= result.zone
                if (!isRestarting) updateEvacuation()
            }

            is ConfigurationResult.Invalid ->
                logger.error {
                    "configuration: record ${record.key} at offset ${record.offset} ignored: ${result.reason}"
                }

            is ConfigurationResult.Valid -> activate(result.configuration)
        }
    }

    private fun updateEvacuation() {
        if (readZones == evacuatedZones) return
        logger.atInfo {
            message = "configuration: evacuated zones have changed"
            payload = mapOf(
                "zones" to readZones.joinToString(","),
                "before" to evacuatedZones.joinToString(","),
            )
        }
        evacuatedZones = readZones.toSet()
        onEvacuation(evacuatedZones)
    }

    private fun activate(configuration: IngressConfiguration) {
        val previous = current
        if (previous != null && previous.version >= configuration.version) return
        current = configuration
        logger.atInfo {
            message = "configuration: version in force"
            payload = mapOf(
                "version" to configuration.version,
                "previous" to previous?.version,
                "routes" to configuration.routes.size,
                "organisations" to configuration.organisations?.size,
            )
        }
        onChange(configuration)
    }

    private companion object {
        val logger = KotlinLogging.logger {}
    }
}
