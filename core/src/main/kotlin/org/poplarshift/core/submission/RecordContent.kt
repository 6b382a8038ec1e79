package org.poplarshift.core.submission

/**
 * A range of bytes in the log, for example a body or an output. The bytes themselves are not in memory.
 *
 * @property parts the log records that hold the bytes, in order
 * @property length number of bytes
 */
class RecordContent private constructor(val parts: List<RecordPart>, private val start: Int, val length: Int) {
    /** Returns the [length] bytes from position [from] on. */
    fun slice(from: Int, length: Int): RecordContent {
        require(from >= 0 && length >= 0 && from.toLong() + length <= this.length) {
            "bytes $from to ${from.toLong() + length} are not within a content of ${this.length} bytes"
        }
        return of(parts, start + from, length)
    }

    /** Returns the bytes, given the [values] of all [parts]. */
    fun extract(values: List<ByteArray>): ByteArray {
        val bytes = ByteArray(length)
        var position = 0
        values.forEachIndexed { index, value ->
            val from = if (index == 0) start else 0
            val count = minOf(value.size - from, length - position)
            value.copyInto(bytes, position, from, from + count)
            position += count
        }
        check(position == length) { "the parts hold $position of $length bytes" }
        return bytes
    }

    companion object {
        /** Returns the [length] bytes from position [start] on of the joined values of [parts]. */
        fun of(parts: List<RecordPart>, start: Int, length: Int): RecordContent {
            val needed = ArrayList<RecordPart>(1)
            var startInNeeded = start
            var position = 0
            for (part in parts) {
                val end = position + part.bytes
                if (end <= start) startInNeeded -= part.bytes
                if (length > 0 && end > start && position < start + length) needed += part
                position = end
            }
            needed.trimToSize()
            return RecordContent(needed, startInNeeded, length)
        }
    }
}
