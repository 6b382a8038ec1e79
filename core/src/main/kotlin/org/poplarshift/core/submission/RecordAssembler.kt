package org.poplarshift.core.submission

/**
 * Joins the headers of split records, without their contents. Parts are added in the order of their offsets.
 *
 * Only the bytes of the header are kept, so that a node can read a log whose contents exceed its memory.
 */
class RecordAssembler {
    private class Partial(count: Int) {
        val parts = arrayOfNulls<RecordPart>(count)
        val heads = arrayOfNulls<ByteArray>(count)
    }

    private val partial = HashMap<String, Partial>()
    private val headerExtractor = HeaderExtractor()

    /**
     * Adds one log record and returns the complete record if this was its last missing part, otherwise null.
     *
     * Log records whose keys have another form are ignored.
     *
     * @param value the value of the log record or the part of it that [shorten] has returned
     * @param valueBytes the length of the whole value
     */
    fun add(offset: Long, key: String, value: ByteArray, valueBytes: Int = value.size): AssembledRecord? {
        val partKey = PartKey.parse(key) ?: return null
        val assembled = partial.getOrPut(partKey.id) { Partial(partKey.count) }
        if (assembled.parts.size != partKey.count) return null
        assembled.parts[partKey.index] = RecordPart(key, offset, valueBytes)
        assembled.heads[partKey.index] = shorten(key, value, valueBytes)
        if (assembled.parts.any { it == null }) return null
        partial.remove(partKey.id)
        headerExtractor.remove(partKey.id)
        val heads = assembled.heads.filterNotNull()
        val header = RecordFormat.decodeHeader(heads)
        val parts = assembled.parts.filterNotNull()
        val content = if (partKey.isReference) {
            val places = RecordFormat.decodePlaces(partKey.id, heads, header.bytes)
            RecordContent.of(places, start = 0, places.sumOf { it.bytes })
        } else {
            RecordContent.of(parts, header.bytes, parts.sumOf { it.bytes } - header.bytes)
        }
        return AssembledRecord(partKey.id, parts.map { it.key }, header.record, content)
    }

    /** Returns the beginning of [value] that [add] needs. The first part of a record must be passed first. */
    fun shorten(key: String, value: ByteArray, valueBytes: Int = value.size): ByteArray {
        val partKey = PartKey.parse(key) ?: return value
        if (partKey.isReference) return value
        return headerExtractor.extract(partKey, value, valueBytes)
    }
}

/** A complete record with the keys of its parts and the place of its content. */
class AssembledRecord(val id: String, val keys: List<String>, val record: SubmissionRecord, val content: RecordContent)
