package org.poplarshift.core.stream

/**
 * The software versions that the log records, as one node knows them.
 *
 * A node lets streams begin only at a version whose record is in the log, so that every node can learn from the log at
 * which versions a stream may have begun. A record is marked as retiring before it is removed. No stream begins at a
 * version that is retiring; where its workers are registered again, its record is written anew.
 */
class VersionLedger {
    /** A record that has been read; [retiringSinceMillis] is the time at which this node has read that it is retiring. */
    private class Entry(val offset: Long, val retiringSinceMillis: Long?)

    private val entries = RereadableMap<StreamOrigin, Entry>()

    // Offsets of the records of this node that were acknowledged and have not been read yet.
    private val acknowledged = HashMap<StreamOrigin, Long>()

    /** All records before this offset have been read. */
    var position = 0L
        private set

    /** Whether all records have been read once. */
    var isRead = false
        private set

    /** All versions that are recorded, including those that are retiring. */
    val recorded: Set<StreamOrigin>
        get() = entries.keys + acknowledged.keys

    /** The versions that are retiring. */
    val retiring: List<RetiringVersion>
        get() = entries.keys.mapNotNull { origin ->
            val entry = entries[origin] ?: return@mapNotNull null
            val sinceMillis = entry.retiringSinceMillis.takeUnless { origin in acknowledged }
            sinceMillis?.let { RetiringVersion(origin, entry.offset, it) }
        }

    /** Whether [origin] is recorded and not retiring. */
    fun isActive(origin: StreamOrigin): Boolean =
        origin in acknowledged || entries[origin]?.let { it.retiringSinceMillis == null } == true

    /** Returns the versions among those of the [registered] workers that have to be recorded. */
    fun missing(registered: Set<StreamOrigin>): List<StreamOrigin> =
        if (isRead) registered.filterNot { isActive(it) } else emptyList()

    /** The log is read anew, beginning with the newest record of each key. */
    fun onRestart() = entries.restart()

    /** The record of [origin] was read. */
    fun onRecord(origin: StreamOrigin, offset: Long, isRetiring: Boolean, nowMillis: Long) {
        val known = entries[origin]?.takeIf { it.offset == offset }
        entries[origin] = known ?: Entry(offset, nowMillis.takeIf { isRetiring })
        onPosition(offset + 1)
    }

    /** The removal of the record of [origin] was read. */
    fun onRemoval(origin: StreamOrigin, offset: Long) {
        entries.remove(origin)
        onPosition(offset + 1)
    }

    /** All records before offset [end] were read. */
    fun onCaughtUp(end: Long) {
        entries.complete()
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
