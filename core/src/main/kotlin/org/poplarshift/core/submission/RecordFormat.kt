package org.poplarshift.core.submission

import kotlinx.serialization.json.Json
import java.nio.ByteBuffer

/**
 * Encodes submission records for a log whose records have a key and a limited size.
 *
 * An encoded record consists of the length of its JSON header (4 bytes), the JSON header and the content. It is split
 * into as many log records as the size limit requires, with the keys `ID:PART:PARTS`. The ID is unique to the record.
 *
 * A large content is written to a topic of its own before the record. The record then has keys `ID:PART:PARTS:r` and contains
 * the offset (8 bytes) and the length (4 bytes) of each part of the content, whose keys are `ID:PART:PARTS` there.
 */
object RecordFormat {
    private val json = Json { ignoreUnknownKeys = true }

    /** Encodes [record] and [content] into log records with values of at most [maximumBytes] each. */
    fun encode(id: String, record: SubmissionRecord, content: ByteArray, maximumBytes: Int): List<KeyedValue> =
        encode(id, record, content, maximumBytes, isReference = false)

    /** Encodes [record], whose content is at [places], into log records with values of at most [maximumBytes] each. */
    fun encodeReference(
        id: String,
        record: SubmissionRecord,
        places: List<RecordPart>,
        maximumBytes: Int,
    ): List<KeyedValue> {
        val content = ByteBuffer.allocate(places.size * PLACE_BYTES)
        places.forEach { content.putLong(it.offset).putInt(it.bytes) }
        return encode(id, record, content.array(), maximumBytes, isReference = true)
    }

    /** Splits [content] at [boundaries], positions in ascending order, and where a part would exceed [maximumBytes]. */
    fun splitContent(id: String, content: ByteArray, boundaries: List<Int>, maximumBytes: Int): List<KeyedValue> {
        val values = (boundaries + content.size).distinct().fold(0 to emptyList<ByteArray>()) { (start, parts), end ->
            end to parts + (start until end step maximumBytes).map {
                content.copyOfRange(it, minOf(it + maximumBytes, end))
            }
        }.second
        return values.mapIndexed { index, value -> KeyedValue("${PartKey(id, index, values.size)}", value) }
    }

    /** Decodes the places of the content of the record [id] after the first [headerBytes] bytes of the joined [parts]. */
    fun decodePlaces(id: String, parts: List<ByteArray>, headerBytes: Int): List<RecordPart> {
        val encoded = ByteBuffer.wrap(join(parts)).position(headerBytes)
        val count = encoded.remaining() / PLACE_BYTES
        return List(count) {
            RecordPart("${PartKey(id, it, count)}", encoded.getLong(), encoded.getInt(), isSeparate = true)
        }
    }

    private fun encode(
        id: String,
        record: SubmissionRecord,
        content: ByteArray,
        maximumBytes: Int,
        isReference: Boolean,
    ): List<KeyedValue> {
        val header = json.encodeToString(SubmissionRecord.serializer(), record).encodeToByteArray()
        val encoded = ByteBuffer.allocate(
            Int.SIZE_BYTES + header.size + content.size,
        ).putInt(header.size).put(header).put(content).array()
        val parts = (encoded.size + maximumBytes - 1) / maximumBytes
        return List(parts) { part ->
            val value = encoded.copyOfRange(part * maximumBytes, minOf(encoded.size, (part + 1) * maximumBytes))
            KeyedValue("${PartKey(id, part, parts, isReference)}", value)
        }
    }

    /** Decodes the header at the beginning of the joined [heads], the beginnings of all parts of a record. */
    fun decodeHeader(heads: List<ByteArray>): DecodedHeader {
        val joined = join(heads)
        val headerBytes = ByteBuffer.wrap(joined).int
        val header = joined.decodeToString(Int.SIZE_BYTES, Int.SIZE_BYTES + headerBytes)
        return DecodedHeader(json.decodeFromString(SubmissionRecord.serializer(), header), Int.SIZE_BYTES + headerBytes)
    }

    private fun join(parts: List<ByteArray>): ByteArray {
        val joined = ByteBuffer.allocate(parts.sumOf { it.size })
        parts.forEach { joined.put(it) }
        return joined.array()
    }

    private const val PLACE_BYTES = Long.SIZE_BYTES + Int.SIZE_BYTES
}

/** A log record: a value and its key. */
class KeyedValue(val key: String, val value: ByteArray)

/** A decoded record. Its content begins after the first [bytes] bytes of its encoded form. */
class DecodedHeader(val record: SubmissionRecord, val bytes: Int)
