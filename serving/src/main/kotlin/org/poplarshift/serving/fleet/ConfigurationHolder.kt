package org.poplarshift.serving.fleet

import io.github.oshai.kotlinlogging.KotlinLogging
import org.poplarshift.core.ingress.IngressConfiguration
import org.poplarshift.serving.log.LogRecord
import org.poplarshift.serving.log.RecordReceiver

/** The outcome of decoding an operator's record. */
sealed interface ConfigurationResult {
    /** The record is a valid configuration. */
    data class Valid(val configuration: IngressConfiguration) : ConfigurationResult

    /** The record is not a configuration. */
    data object NotConfiguration : ConfigurationResult

    /** The record is a configuration that can't be decoded or is not valid. */
    data class Invalid(val reason: String) : ConfigurationResult
}

/**
 * Holds the newest configuration that this node has read. Older versions are ignored.
 *
 * @param decode decodes a record from its key and value
 * @param onChange called after a new configuration has come into force
 */
class ConfigurationHolder(
    private val decode: (String, ByteArray) -> ConfigurationResult,
    private val onChange: (IngressConfiguration) -> Unit = {},
) : RecordReceiver {
    /** The configuration in force, or null if none has been read yet. */
    var current: IngressConfiguration? = null
        private set

    // The current configuration stays in force until a newer one has been read.
    override fun onRestart() = Unit

    override fun onRecord(record: LogRecord) {
        if (record.value.isEmpty()) return
        when (val result = decode(record.key, record.value)) {
            ConfigurationResult.NotConfiguration -> Unit
            is ConfigurationResult.Invalid ->
                logger.error {
                    "configuration: record ${record.key} at offset ${record.offset} ignored: ${result.reason}"
                }

            is ConfigurationResult.Valid -> activate(result.configuration)
        }
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
