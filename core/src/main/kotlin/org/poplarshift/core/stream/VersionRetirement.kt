package org.poplarshift.core.stream

/**
 * Decides when the record of a version is removed.
 *
 * A node that is cut off from the log may let streams begin at a version long after its workers have left the registry.
 * The record is therefore removed in two steps. One node marks it as retiring. Each node states that it has observed the
 * mark once no stream that it began there is resumed any more. The record is removed when all nodes have stated that.
 */
class VersionRetirement(
    private val self: String,
    private val ledger: VersionLedger,
    private val readers: VersionReaders,
) {
    private val absentSinceMillis = HashMap<StreamOrigin, Long>()
    private var registered = emptySet<StreamOrigin>()
    private var observedMillis = Long.MIN_VALUE / 2

    /** The versions of the [registered] workers were those at [asOfMillis]. */
    fun observe(registered: Set<StreamOrigin>, asOfMillis: Long) {
        if (asOfMillis - observedMillis > MAXIMUM_GAP_MILLIS) absentSinceMillis.clear()
        this.registered = registered
        observedMillis = asOfMillis
        val absent = ledger.recorded - registered
        absentSinceMillis.keys.retainAll(absent)
        absent.forEach { absentSinceMillis.putIfAbsent(it, asOfMillis) }
    }

    /** Returns the versions that this node has to mark as retiring. */
    fun versionsToRetire(nowMillis: Long): List<StreamOrigin> {
        if (!isResponsible(nowMillis)) return emptyList()
        return absentSinceMillis.filter { (origin, sinceMillis) ->
            observedMillis - sinceMillis >= ABSENCE_MILLIS && ledger.isActive(origin) && isReplaced(origin)
        }.keys.toList()
    }

    /** Returns the position that this node has to state, or null if there is nothing new to state. */
    fun positionToState(nowMillis: Long): Long? {
        val (observed, recent) = ledger.retiring.partition { nowMillis - it.sinceMillis >= RETENTION_MILLIS }
        val position = recent.minOfOrNull { it.offset } ?: ledger.position
        val stated = readers.positionOf(self)
        return position.takeIf { observed.any { it.offset in stated until position } }
    }

    /**
     * Returns the versions whose records this node has to remove. They may only be removed from a log that has no other
     * records than those that were read.
     */
    fun versionsToRemove(nowMillis: Long): List<StreamOrigin> {
        if (!isResponsible(nowMillis)) return emptyList()
        val position =
            readers.within(GONE_MILLIS, nowMillis).minOfOrNull { readers.positionOf(it) } ?: return emptyList()
        return ledger.retiring.filter { it.offset < position }.map { it.origin }
    }

    // One node is enough. Another takes its place when it does not renew its record.
    private fun isResponsible(nowMillis: Long): Boolean =
        ledger.isRead && readers.within(MEMBER_MILLIS, nowMillis).minOrNull() == self

    // The last version of a service stays recorded, so that its workers take streams as soon as they are back.
    private fun isReplaced(origin: StreamOrigin): Boolean =
        registered.any { it.service == origin.service && ledger.isActive(it) }

    companion object {
        /** Longer than callers keep taking up a stream. */
        const val RETENTION_MILLIS = 30_000L

        /** Longer than a worker needs to restart, so that a restart does not cause a record. */
        const val ABSENCE_MILLIS = 10_000L

        /** Nodes renew their records every 15 seconds. */
        const val MEMBER_MILLIS = 40_000L

        /** Longer than any outage after which a node continues without a restart. */
        const val GONE_MILLIS = 3_600_000L

        // Longer than a read of the registry waits. After a longer gap the log could not be read.
        private const val MAXIMUM_GAP_MILLIS = 5_000L
    }
}
