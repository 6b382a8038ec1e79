package org.poplarshift.serving.stream

import io.github.oshai.kotlinlogging.KotlinLogging
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
    @Serializable
    private data class VersionRecord(val service: String, val softwareVersion: String)

    private val logger = KotlinLogging.logger {}
    private val json = Json { ignoreUnknownKeys = true }
    private const val KEY_PREFIX = "versions:"

    // The names of services and versions can be longer than a key.
    private const val DIGEST_BYTES = 16

    /** Whether [key] is the key of a record of a version. */
    fun isVersionKey(key: String): Boolean = key.startsWith(KEY_PREFIX)

    /** Returns the key of the record of [origin]. */
    fun keyOf(origin: StreamOrigin): String {
        val digest = MessageDigest.getInstance("SHA-256").digest(encode(origin))
        return KEY_PREFIX + HexFormat.of().formatHex(digest, 0, DIGEST_BYTES)
    }

    /** Returns the record of [origin]. */
    fun record(origin: StreamOrigin) = KeyedValue(keyOf(origin), encode(origin))

    /** Returns the version that [record] states, or null if it can't be decoded. */
    fun decode(record: LogRecord): StreamOrigin? = try {
        val content = json.decodeFromString(VersionRecord.serializer(), record.value.decodeToString())
        StreamOrigin(content.service, content.softwareVersion)
    } catch (exception: SerializationException) {
        logger.warn { "versions: record ${record.key} at offset ${record.offset} ignored: ${exception.message}" }
        null
    }

    private fun encode(origin: StreamOrigin): ByteArray = Json.encodeToString(
        VersionRecord.serializer(),
        VersionRecord(origin.service, origin.softwareVersion),
    ).encodeToByteArray()
}
