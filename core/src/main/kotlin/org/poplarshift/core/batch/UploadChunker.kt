package org.poplarshift.core.batch

/** Groups the items of an upload into chunks. Each chunk is one append. */
class UploadChunker(
    private val maximumItems: Int = ResultBuffer.MAXIMUM_RESULTS,
    private val maximumBytes: Int = ResultBuffer.MAXIMUM_BYTES,
) {
    private var items = mutableListOf<BatchItem>()
    private var bytes = 0

    /** Adds an item from a line of [lineBytes] bytes. Returns the preceding items if they fill a chunk, or null. */
    fun add(item: BatchItem, lineBytes: Int): List<BatchItem>? {
        val isFull = items.size >= maximumItems || (items.isNotEmpty() && bytes + lineBytes > maximumBytes)
        val complete = if (isFull) take() else null
        items += item
        bytes += lineBytes
        return complete
    }

    /** Removes and returns the buffered items. */
    fun take(): List<BatchItem> {
        val taken = items
        items = mutableListOf()
        bytes = 0
        return taken
    }
}
