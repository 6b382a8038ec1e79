package org.poplarshift.core.batch

/** Gathers the items of an upload into chunks, each of which is one append. */
class UploadChunker(
    private val maximumItems: Int = ResultBuffer.MAXIMUM_RESULTS,
    private val maximumBytes: Int = ResultBuffer.MAXIMUM_BYTES,
) {
    private var items = mutableListOf<BatchItem>()
    private var bytes = 0

    /** Adds an item that came as a line of [lineBytes]; returns the chunk that is complete without it, or null. */
    fun add(item: BatchItem, lineBytes: Int): List<BatchItem>? {
        val isFull = items.size >= maximumItems || (items.isNotEmpty() && bytes + lineBytes > maximumBytes)
        val complete = if (isFull) take() else null
        items += item
        bytes += lineBytes
        return complete
    }

    /** Takes what is left. */
    fun take(): List<BatchItem> {
        val taken = items
        items = mutableListOf()
        bytes = 0
        return taken
    }
}
