package org.poplarshift.core.submission

import kotlinx.serialization.json.Json
import java.nio.ByteBuffer

/**
 * Encodes submission records for a log whose records have a key and a limited size.
 *
 * An encoded record is the length of its JSON (4 bytes), the JSON and the content. It is split over as many log records
 * as the size requires, with the keys `ID:PART:PARTS`, where ID is unique for each record.
 */
object RecordFormat {
    private val json = Json { ignoreUnknownKeys = true }

    /** Log records of [record]; their values have at most [maximumBytes]. */
    fun encode(id: String, record: SubmissionRecord, content: ByteArray, maximumBytes: Int): List<KeyedValue> {
        val head = json.encodeToString(SubmissionRecord.serializer(), record).encodeToByteArray()
        val whole = ByteBuffer.allocate(
            Int.SIZE_BYTES + head.size + content.size,
        ).putInt(head.size).put(head).put(content).array()
        val parts = (whole.size + maximumBytes - 1) / maximumBytes
        return List(parts) { part ->
            val value = whole.copyOfRange(part * maximumBytes, minOf(whole.size, (part + 1) * maximumBytes))
            KeyedValue("$id:$part:$parts", value)
        }
    }

    /** The record and the content of [whole], the joined values. */
    fun decode(whole: ByteArray): DecodedRecord {
        val headBytes = ByteBuffer.wrap(whole).int
        val head = whole.decodeToString(Int.SIZE_BYTES, Int.SIZE_BYTES + headBytes)
        val record = json.decodeFromString(SubmissionRecord.serializer(), head)
        return DecodedRecord(record, whole.copyOfRange(Int.SIZE_BYTES + headBytes, whole.size))
    }
}

/** A value of the log under its key. */
class KeyedValue(val key: String, val value: ByteArray)

/** A record with its content. */
class DecodedRecord(val record: SubmissionRecord, val content: ByteArray)
