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
 * Reads and appends to the log stream `configuration`. Records are applied by the same rules as on the nodes.
 *
 * @param attemptLimit number of attempts of an append or a read before the command fails
 */
class ConfigurationLog(
    private val log: LogService,
    private val producer: String = "operator-${UUID.randomUUID()}",
    private val attemptLimit: Int = 5,
    private val retryDelayMillis: Long = 500,
) {
    private val reducer = ConfigurationReducer()
    private var nextSequence = 0L

    /** Reads the current configuration. */
    suspend fun read(): Configuration = replay(target = null).configuration

    /**
     * Appends [record] and returns its effect. After an append with an unknown outcome, the record is looked up in the
     * log. If it is absent, the append is retried with the same producer and sequence number, so that the record cannot
     * take effect twice.
     *
     * @throws OperatorException if the record is not in the log after the last attempt
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
            "the record is not in the log after $attemptLimit attempts but may still be appended; check the current " +
                "configuration before retrying ($reason)",
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
        throw OperatorException("cannot read the configuration log: $reason")
    }

    /** Applies log records to an empty configuration and keeps the result of the record with the id [target]. */
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
            // Nodes skip records that they cannot decode, so the command skips them too to reach the same state.
            null
        }
    }

    private data class RecordId(val producer: String, val sequence: Long)

    private companion object {
        const val PAGE_RECORDS = 500
        val SERIALIZER = LogEnvelope.serializer(ConfigurationRecord.serializer())
    }
}
