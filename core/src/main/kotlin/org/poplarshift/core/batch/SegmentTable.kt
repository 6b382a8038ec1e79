package org.poplarshift.core.batch

/** The positions of a job's result records in log order, stored in growing primitive arrays. */
internal class SegmentTable {
    private var offsets = LongArray(INITIAL_SIZE)
    private var firsts = IntArray(INITIAL_SIZE)
    private var dropped: MutableMap<Int, List<Int>>? = null

    /** The number of segments. */
    var size = 0
        private set

    fun add(segment: SegmentReference) {
        if (size == offsets.size) {
            offsets = offsets.copyOf(size * 2)
            firsts = firsts.copyOf(size * 2)
        }
        offsets[size] = segment.offset
        firsts[size] = segment.first
        if (segment.dropped.isNotEmpty()) dropped = (dropped ?: HashMap()).also { it[size] = segment.dropped }
        size++
    }

    /** Returns the segment at [index]. */
    operator fun get(index: Int) = SegmentReference(offsets[index], firsts[index], dropped?.get(index).orEmpty())

    /** Returns the index of the segment with result number [position], or of the last one if it is not recorded yet. */
    fun indexOf(position: Int): Int {
        val found = firsts.binarySearch(position, 0, size)
        return if (found >= 0) found else (-found - 2).coerceAtLeast(0)
    }

    /** Shrinks the arrays to their used size after the end of the job. */
    fun trim() {
        offsets = offsets.copyOf(size.coerceAtLeast(1))
        firsts = firsts.copyOf(size.coerceAtLeast(1))
    }

    private companion object {
        const val INITIAL_SIZE = 4
    }
}
