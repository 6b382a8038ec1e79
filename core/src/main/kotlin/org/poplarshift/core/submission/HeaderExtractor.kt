package org.poplarshift.core.submission

import java.nio.ByteBuffer

/** Finds the bytes of a record's parts that belong to its header. The first part states how long the header is. */
internal class HeaderExtractor {
    // All parts of a record but the last have the same size.
    private class Layout(val partBytes: Int, val headerBytes: Long)

    private val layouts = HashMap<String, Layout>()

    /**
     * Returns the beginning of [value] that belongs to the header, or the whole value if the first part is unknown.
     *
     * @param valueBytes the length of the whole value, which exceeds that of [value] if it has been shortened before
     */
    fun extract(key: PartKey, value: ByteArray, valueBytes: Int): ByteArray {
        if (key.index == 0 && value.size >= Int.SIZE_BYTES) {
            layouts[key.id] = Layout(valueBytes, Int.SIZE_BYTES + ByteBuffer.wrap(value).int.toLong())
        }
        val layout = layouts[key.id] ?: return value
        val remaining = layout.headerBytes - key.index.toLong() * layout.partBytes
        return value.copyOf(remaining.coerceIn(0, value.size.toLong()).toInt())
    }

    /** Forgets the record [id]. */
    fun remove(id: String) {
        layouts.remove(id)
    }
}
