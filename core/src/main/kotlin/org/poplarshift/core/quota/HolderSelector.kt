package org.poplarshift.core.quota

/**
 * Selects the slot holder to request tokens of one organisation from, according to the surplus that each holder last
 * reported and the refill since then.
 */
class HolderSelector {
    private val surplusByHolder = mutableMapOf<String, ReportedSurplus>()
    private val timedOutAtMillis = mutableMapOf<String, Long>()

    /** Records the surplus that [holder] reported, in micro-tokens. */
    fun recordSurplus(holder: String, surplus: Long, nowMillis: Long) {
        surplusByHolder[holder] = ReportedSurplus(surplus, nowMillis)
    }

    /** Records that [holder] did not respond. It is selected again once its expected surplus has recovered. */
    fun recordTimeout(holder: String, nowMillis: Long) {
        recordSurplus(holder, -TIMEOUT_PENALTY, nowMillis)
        timedOutAtMillis[holder] = nowMillis
    }

    /** Whether [holder] has failed to respond recently. */
    fun isUnresponsive(holder: String, nowMillis: Long): Boolean =
        timedOutAtMillis[holder]?.let { nowMillis - it < UNRESPONSIVE_MILLIS } ?: false

    /**
     * Returns the holder to request [needed] micro-tokens from, or null if no holder is expected to have a useful
     * amount. A holder in the local zone with a sufficient expected surplus is preferred, then the holder with the
     * largest expected surplus.
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
        /** A grant of less than a sixteenth of the needed amount is not worth its messages. */
        const val MINIMUM_GRANT_DIVISOR = 16
        const val TIMEOUT_PENALTY = MicroTokens.ONE_TOKEN
        const val UNRESPONSIVE_MILLIS = 2_000L
        const val MAXIMUM_REFILL_MILLIS = 3_600_000L
    }
}

/**
 * A VM that holds slots with shares of an organisation.
 *
 * @property holder the incarnation of the VM
 * @property isLocal whether it is in the zone of the requesting VM
 * @property share the sum of its shares
 */
data class HolderShare(val holder: String, val isLocal: Boolean, val share: SlotShare)
