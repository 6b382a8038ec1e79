package org.poplarshift.core.stream

/** The nodes that have announced themselves, and how far each of them has observed the records of versions. */
class VersionReaders {
    private val readMillis = RereadableMap<String, Long>()
    private val positions = RereadableMap<String, Long>()

    /** Whether the record of [node] has been read. */
    fun isMember(node: String): Boolean = readMillis[node] != null

    /** Returns the position that [node] has stated, or 0. */
    fun positionOf(node: String): Long = positions[node] ?: 0

    /** Returns the nodes whose record was read within the last [millis]. */
    fun within(millis: Long, nowMillis: Long): List<String> =
        readMillis.keys.filter { nowMillis - (readMillis[it] ?: nowMillis) <= millis }

    /** The log is read anew, beginning with the newest record of each key. */
    fun onRestart() {
        readMillis.restart()
        positions.restart()
    }

    /** The record with which [node] announces itself, or renews that, was read. */
    fun onMember(node: String, nowMillis: Long) {
        readMillis[node] = nowMillis
    }

    /** The removal of the record of [node] was read. */
    fun onMemberRemoval(node: String) = readMillis.remove(node)

    /** The statement that [node] has observed all records before [position] was read. */
    fun onStatement(node: String, position: Long) {
        positions[node] = position
    }

    /** All records were read. */
    fun onCaughtUp() {
        readMillis.complete()
        positions.complete()
    }
}
