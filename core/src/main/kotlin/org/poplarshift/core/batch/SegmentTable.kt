package org.poplarshift.core.batch

/** The result records of a job in the order of the log, in arrays that grow. */
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

    /** The segment with [index]. */
    operator fun get(index: Int) = SegmentReference(offsets[index], firsts[index], dropped?.get(index).orEmpty())

    /** The index of the segment that holds the result with the number [position], or [size] when it is not there yet. */
    fun indexOf(position: Int): Int {
        val found = firsts.binarySearch(position, 0, size)
        return if (found >= 0) found else (-found - 2).coerceAtLeast(0)
    }

    /** Releases memory that a job that has ended no longer needs. */
    fun trim() {
        offsets = offsets.copyOf(size.coerceAtLeast(1))
        firsts = firsts.copyOf(size.coerceAtLeast(1))
    }

    private companion object {
        const val INITIAL_SIZE = 4
    }
}
