package org.poplarshift.core.quota

/**
 * Chooses which holder to ask for tokens of one organisation, from what each holder said it had left and what has been
 * refilled since.
 */
class HolderSelector {
    private val surplusByHolder = mutableMapOf<String, ReportedSurplus>()
    private val timedOutAtMillis = mutableMapOf<String, Long>()

    /** Takes the surplus that [holder] reported. */
    fun recordSurplus(holder: String, surplus: Long, nowMillis: Long) {
        surplusByHolder[holder] = ReportedSurplus(surplus, nowMillis)
    }

    /** Takes the fact that [holder] doesn't answer; it is asked again when others would be expected to be full. */
    fun recordTimeout(holder: String, nowMillis: Long) {
        recordSurplus(holder, -TIMEOUT_PENALTY, nowMillis)
        timedOutAtMillis[holder] = nowMillis
    }

    /** Whether [holder] did not answer lately. */
    fun isUnresponsive(holder: String, nowMillis: Long): Boolean =
        timedOutAtMillis[holder]?.let { nowMillis - it < UNRESPONSIVE_MILLIS } ?: false

    /**
     * The holder to ask for [needed], or null when no holder is expected to have a useful amount. A holder of the
     * local zone that is expected to have enough comes first, then the one expected to have the most.
     */
    fun select(holders: List<HolderShare>, excluded: Set<String>, needed: Long, nowMillis: Long): HolderShare? {
        val minimum = minOf(needed, MicroTokens.ONE_TOKEN) / MINIMUM_GRANT_DIVISOR
        val candidates = holders.filter { it.holder !in excluded }
            .map { it to expectedSurplus(it, nowMillis) }
            .filter { (_, surplus) -> surplus >= minimum }
        val order = compareBy<Pair<HolderShare, Long>>(
            { (holder, surplus) -> holder.isLocal && surplus >= needed },
            { (_, surplus) -> surplus },
        )
        return candidates.maxWithOrNull(order)?.first
    }

    private fun expectedSurplus(holder: HolderShare, nowMillis: Long): Long {
        val surplus = surplusByHolder[holder.holder] ?: return holder.share.capacity
        val elapsed = (nowMillis - surplus.atMillis).coerceIn(0, MAXIMUM_REFILL_MILLIS)
        return minOf(holder.share.capacity, surplus.amount + holder.share.refillPerSecond * elapsed / 1_000)
    }

    private data class ReportedSurplus(val amount: Long, val atMillis: Long)

    private companion object {
        /** A request for less than a sixteenth of what is needed costs more messages than it helps. */
        const val MINIMUM_GRANT_DIVISOR = 16
        const val TIMEOUT_PENALTY = MicroTokens.ONE_TOKEN
        const val UNRESPONSIVE_MILLIS = 2_000L
        const val MAXIMUM_REFILL_MILLIS = 3_600_000L
    }
}

/**
 * A VM that holds slots with shares of an organisation.
 *
 * @property holder the incarnation
 * @property isLocal whether it is in the asking VM's zone
 * @property share the sum of its shares
 */
data class HolderShare(val holder: String, val isLocal: Boolean, val share: SlotShare)
