package org.poplarshift.core.stream

/**
 * The software versions that the log records, as one node knows them.
 *
 * A node lets streams begin only at a version whose record is in the log, so that every node can learn from the log at
 * which versions a stream may have begun.
 */
class VersionLedger {
    private val offsets = RereadableMap<StreamOrigin, Long>()

    // Offsets of the records of this node that were acknowledged and have not been read yet.
    private val acknowledged = HashMap<StreamOrigin, Long>()
    private var position = 0L

    /** Whether all records have been read once. */
    var isRead = false
        private set

    /** All versions that are recorded. */
    val recorded: Set<StreamOrigin>
        get() = offsets.keys + acknowledged.keys

    /** Whether streams may begin at [origin]. */
    fun mayBegin(origin: StreamOrigin): Boolean = origin in acknowledged || offsets[origin] != null

    /** Returns the versions among those of the [registered] workers that have to be recorded. */
    fun missing(registered: Set<StreamOrigin>): List<StreamOrigin> =
        if (isRead) registered.filterNot { mayBegin(it) } else emptyList()

    /** The log is read anew, beginning with the newest record of each key. */
    fun onRestart() = offsets.restart()

    /** The record of [origin] was read. */
    fun onRecord(origin: StreamOrigin, offset: Long) {
        offsets[origin] = offset
        onPosition(offset + 1)
    }

    /** The removal of the record of [origin] was read. */
    fun onRemoval(origin: StreamOrigin, offset: Long) {
        offsets.remove(origin)
        onPosition(offset + 1)
    }

    /** All records before offset [end] were read. */
    fun onCaughtUp(end: Long) {
        offsets.complete()
        onPosition(end)
        isRead = true
    }

    /** The log has acknowledged a record of [origin] at [offset]. */
    fun onAppended(origin: StreamOrigin, offset: Long) {
        if (offset >= position) acknowledged[origin] = offset
    }

    private fun onPosition(next: Long) {
        position = maxOf(position, next)
        acknowledged.values.removeIf { it < position }
    }
}
