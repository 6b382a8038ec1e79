package org.poplarshift.core.submission

import kotlinx.serialization.json.Json
import java.nio.ByteBuffer

/**
 * Encodes submission records for a log whose records have a key and a limited size.
 *
 * An encoded record consists of the length of its JSON header (4 bytes), the JSON header and the content. It is split
 * into as many log records as the size limit requires, with the keys `ID:PART:PARTS`. The ID is unique to the record.
 */
object RecordFormat {
    private val json = Json { ignoreUnknownKeys = true }

    /** Encodes [record] and [content] into log records with values of at most [maximumBytes] each. */
    fun encode(id: String, record: SubmissionRecord, content: ByteArray, maximumBytes: Int): List<KeyedValue> {
        val header = json.encodeToString(SubmissionRecord.serializer(), record).encodeToByteArray()
        val encoded = ByteBuffer.allocate(
            Int.SIZE_BYTES + header.size + content.size,
        ).putInt(header.size).put(header).put(content).array()
        val parts = (encoded.size + maximumBytes - 1) / maximumBytes
        return List(parts) { part ->
            val value = encoded.copyOfRange(part * maximumBytes, minOf(encoded.size, (part + 1) * maximumBytes))
            KeyedValue("$id:$part:$parts", value)
        }
    }

    /** Decodes the header at the beginning of the joined [heads], the beginnings of all parts of a record. */
    fun decodeHeader(heads: List<ByteArray>): DecodedHeader {
        val joined = ByteBuffer.allocate(heads.sumOf { it.size })
        heads.forEach { joined.put(it) }
        val headerBytes = joined.getInt(0)
        val header = joined.array().decodeToString(Int.SIZE_BYTES, Int.SIZE_BYTES + headerBytes)
        return DecodedHeader(json.decodeFromString(SubmissionRecord.serializer(), header), Int.SIZE_BYTES + headerBytes)
    }
}

/** A log record: a value and its key. */
class KeyedValue(val key: String, val value: ByteArray)

/** A decoded record. Its content begins after the first [bytes] bytes of its encoded form. */
class DecodedHeader(val record: SubmissionRecord, val bytes: Int)
