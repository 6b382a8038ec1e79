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

    /** Decodes [encoded], the joined values of all parts of a record. */
    fun decode(encoded: ByteArray): DecodedRecord {
        val headerBytes = ByteBuffer.wrap(encoded).int
        val header = encoded.decodeToString(Int.SIZE_BYTES, Int.SIZE_BYTES + headerBytes)
        val record = json.decodeFromString(SubmissionRecord.serializer(), header)
        return DecodedRecord(record, encoded.copyOfRange(Int.SIZE_BYTES + headerBytes, encoded.size))
    }
}

/** A log record: a value and its key. */
class KeyedValue(val key: String, val value: ByteArray)

/** A decoded record with its content. */
class DecodedRecord(val record: SubmissionRecord, val content: ByteArray)
