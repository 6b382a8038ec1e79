package org.poplarshift.serving.stream

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.poplarshift.core.stream.StreamOrigin
import org.poplarshift.core.submission.KeyedValue
import org.poplarshift.serving.log.LogRecord
import java.security.MessageDigest
import java.util.HexFormat

/** The records of software versions in a keyed topic. */
internal object VersionRecordFormat {
    /** The record of a version at which streams may have begun. */
    @Serializable
    data class VersionRecord(val service: String, val softwareVersion: String, val isRetiring: Boolean = false) {
        /** The version that is recorded. */
        val origin: StreamOrigin
            get() = StreamOrigin(service, softwareVersion)
    }

    @Serializable
    private data class Statement(val position: Long)

    private val logger = KotlinLogging.logger {}
    private val json = Json { ignoreUnknownKeys = true }
    private const val VERSION_PREFIX = "versions:"
    private const val STATEMENT_PREFIX = "versions-read:"

    // The names of services and versions can be longer than a key.
    private const val DIGEST_BYTES = 16

    /** Whether [key] is the key of a record of a version. */
    fun isVersionKey(key: String): Boolean = key.startsWith(VERSION_PREFIX)

    /** Returns the node whose statement has the key [key], or null if it is another key. */
    fun statingNode(key: String): String? =
        key.removePrefix(STATEMENT_PREFIX).takeIf { key.startsWith(STATEMENT_PREFIX) }

    /** Returns the key of the statement of [node] of how far it has observed the records. */
    fun statementKey(node: String): String = STATEMENT_PREFIX + node

    /** Returns the key of the record of [origin]. */
    fun keyOf(origin: StreamOrigin): String {
        val name = encode(VersionRecord(origin.service, origin.softwareVersion))
        val digest = MessageDigest.getInstance("SHA-256").digest(name)
        return VERSION_PREFIX + HexFormat.of().formatHex(digest, 0, DIGEST_BYTES)
    }

    /** Returns the record of [origin]. */
    fun record(origin: StreamOrigin, isRetiring: Boolean = false) =
        KeyedValue(keyOf(origin), encode(VersionRecord(origin.service, origin.softwareVersion, isRetiring)))

    /** Returns the record that removes that of [origin]. */
    fun removal(origin: StreamOrigin) = KeyedValue(keyOf(origin), ByteArray(0))

    /** Encodes the statement that all records before [position] were observed. */
    fun encodeStatement(position: Long): String = Json.encodeToString(Statement.serializer(), Statement(position))

    /** Returns the version that [record] states, or null if it can't be decoded. */
    fun decode(record: LogRecord): VersionRecord? = decode(VersionRecord.serializer(), record)

    /** Returns the position that [record] states, or null if it can't be decoded. */
    fun decodeStatement(record: LogRecord): Long? = decode(Statement.serializer(), record)?.position

    private fun <T> decode(format: DeserializationStrategy<T>, record: LogRecord): T? = try {
        json.decodeFromString(format, record.value.decodeToString())
    } catch (exception: SerializationException) {
        logger.warn { "versions: record ${record.key} at offset ${record.offset} ignored: ${exception.message}" }
        null
    }

    private fun encode(record: VersionRecord): ByteArray =
        Json.encodeToString(VersionRecord.serializer(), record).encodeToByteArray()
}
