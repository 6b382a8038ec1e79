package org.poplarshift.operator.configuration

import kotlinx.coroutines.delay
import kotlinx.serialization.SerializationException
import org.poplarshift.core.configuration.Configuration
import org.poplarshift.core.configuration.ConfigurationRecord
import org.poplarshift.core.configuration.ConfigurationReducer
import org.poplarshift.core.configuration.ConfigurationResult
import org.poplarshift.operator.OperatorException
import org.poplarshift.ports.AppendResult
import org.poplarshift.ports.LogRecord
import org.poplarshift.ports.LogService
import org.poplarshift.ports.ReadResult
import org.poplarshift.wire.LogEnvelope
import org.poplarshift.wire.LogStream
import org.poplarshift.wire.WireJson
import java.util.UUID

/**
 * The stream `configuration` as an operator's command uses it. Applies the records as the nodes do.
 *
 * @param attemptLimit tries of an append or a read before the command fails
 */
class ConfigurationLog(
    private val log: LogService,
    private val producer: String = "operator-${UUID.randomUUID()}",
    private val attemptLimit: Int = 5,
    private val retryDelayMillis: Long = 500,
) {
    private val reducer = ConfigurationReducer()
    private var nextSequence = 0L

    /** Reads the configuration in force. */
    suspend fun read(): Configuration = replay(target = null).configuration

    /**
     * Appends [record] and returns what it did. An append whose outcome is unknown is looked up in the log, and
     * repeated with the same producer and sequence when it is not there, so that it can't take effect twice.
     */
    suspend fun append(record: ConfigurationRecord): ConfigurationResult {
        val recordId = RecordId(producer, nextSequence++)
        val envelope = LogEnvelope(producer = producer, sequence = recordId.sequence, record = record)
        val text = WireJson.strict.encodeToString(SERIALIZER, envelope)
        var reason = ""
        repeat(attemptLimit) {
            when (val result = log.append(LogStream.CONFIGURATION, text)) {
                is AppendResult.Refused -> reason = result.reason
                is AppendResult.Unknown -> reason = result.reason
                is AppendResult.Appended -> reason = ""
            }
            replay(recordId).result?.let { return it }
            delay(retryDelayMillis)
        }
        throw OperatorException(
            "the record is not in the log after $attemptLimit attempts, but may still arrive; read the configuration " +
                "before you try again ($reason)",
        )
    }

    private suspend fun replay(target: RecordId?): Replay {
        val replay = Replay(target)
        var offset = 0L
        while (true) {
            val page = readPage(offset)
            page.records.forEach { replay.apply(it) }
            offset = page.nextOffset
            if (page.records.isEmpty()) return replay
        }
    }

    private suspend fun readPage(offset: Long): ReadResult.Records {
        var reason = ""
        repeat(attemptLimit) {
            when (val result = log.read(LogStream.CONFIGURATION, offset, PAGE_RECORDS)) {
                is ReadResult.Records -> return result
                is ReadResult.Unavailable -> reason = result.reason
            }
            delay(retryDelayMillis)
        }
        throw OperatorException("the log can't be read: $reason")
    }

    /** The state while records are applied, and the result of the record that is [target]. */
    private inner class Replay(private val target: RecordId?) {
        private val appliedIds = mutableSetOf<RecordId>()
        var configuration = Configuration()
        var result: ConfigurationResult? = null

        fun apply(logRecord: LogRecord) {
            val envelope = decode(logRecord) ?: return
            val recordId = RecordId(envelope.producer, envelope.sequence)
            if (!appliedIds.add(recordId)) return
            val outcome = reducer.apply(configuration, logRecord.offset, envelope.record)
            if (outcome is ConfigurationResult.Applied) configuration = outcome.configuration
            if (recordId == target) result = outcome
        }

        private fun decode(logRecord: LogRecord): LogEnvelope<ConfigurationRecord>? = try {
            WireJson.lenient.decodeFromString(SERIALIZER, logRecord.record)
        } catch (_: SerializationException) {
            // Nodes pass over a record that they can't read, so that a command must as well.
            null
        }
    }

    private data class RecordId(val producer: String, val sequence: Long)

    private companion object {
        const val PAGE_RECORDS = 500
        val SERIALIZER = LogEnvelope.serializer(ConfigurationRecord.serializer())
    }
}
