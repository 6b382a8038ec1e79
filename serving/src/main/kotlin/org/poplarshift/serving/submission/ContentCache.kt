package org.poplarshift.serving.submission

/**
 * Values of log records that were written or read last, up to [maximumBytes] in total.
 *
 * The record that was used least recently is removed first. A cache that judges by frequency would refuse the records of
 * a submission that begins to run while the previous ones were read often.
 */
class ContentCache(private val maximumBytes: Long) {
    private data class Place(val partition: Int, val offset: Long, val isSeparate: Boolean)

    private val values = LinkedHashMap<Place, ByteArray>(INITIAL_CAPACITY, LOAD_FACTOR, true)

    /** Total size of the values and of their entries, in bytes. */
    var bytes = 0L
        private set

    /**
     * Returns the value of the record at [offset] of [partition], or null if it is not in the cache.
     *
     * @param isSeparate whether the record is in the topic of contents
     */
    fun find(partition: Int, offset: Long, isSeparate: Boolean = false): ByteArray? =
        values[Place(partition, offset, isSeparate)]

    /** Adds the [value] of the record at [offset] of [partition], see [find]. */
    fun add(partition: Int, offset: Long, value: ByteArray, isSeparate: Boolean = false) {
        val previous = values.put(Place(partition, offset, isSeparate), value)
        bytes += weight(value) - (previous?.let { weight(it) } ?: 0)
        val eldest = values.values.iterator()
        while (bytes > maximumBytes && eldest.hasNext()) {
            bytes -= weight(eldest.next())
            eldest.remove()
        }
    }

    private fun weight(value: ByteArray): Long = ENTRY_BYTES + value.size

    private companion object {
        const val INITIAL_CAPACITY = 16
        const val LOAD_FACTOR = 0.75f

        // The heap that an entry takes beside the bytes of its value: map entry, place, array header and table slot.
        const val ENTRY_BYTES = 120L
    }
}
