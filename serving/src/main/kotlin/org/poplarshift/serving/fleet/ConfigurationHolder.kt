package org.poplarshift.serving.fleet

import io.github.oshai.kotlinlogging.KotlinLogging
import org.poplarshift.core.ingress.IngressConfiguration
import org.poplarshift.serving.log.LogRecord
import org.poplarshift.serving.log.RecordReceiver

/** The outcome of reading an operator's record. */
sealed interface ConfigurationResult {
    /** The record is a configuration. */
    data class Valid(val configuration: IngressConfiguration) : ConfigurationResult

    /** The record is something else. */
    data object Other : ConfigurationResult

    /** The record should be a configuration and can't be read. */
    data class Invalid(val reason: String) : ConfigurationResult
}

/**
 * The newest configuration that this node has read. It never goes back to an older version.
 *
 * @param decode reads a record by its key and value
 */
class ConfigurationHolder(
    private val decode: (String, ByteArray) -> ConfigurationResult,
    private val onChange: (IngressConfiguration) -> Unit = {},
) : RecordReceiver {
    /** The configuration in force, or null before the first. */
    var current: IngressConfiguration? = null
        private set

    // What is in force stays in force until newer records were read.
    override fun onRestart() = Unit

    override fun onRecord(record: LogRecord) {
        if (record.value.isEmpty()) return
        when (val result = decode(record.key, record.value)) {
            ConfigurationResult.Other -> Unit
            is ConfigurationResult.Invalid ->
                logger.error {
                    "configuration: record ${record.key} at offset ${record.offset}: ${result.reason}; not used"
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
                "organisations" to configuration.organisations.size,
            )
        }
        onChange(configuration)
    }

    private companion object {
        val logger = KotlinLogging.logger {}
    }
}
