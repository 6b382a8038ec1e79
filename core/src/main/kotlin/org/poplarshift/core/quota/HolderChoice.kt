package org.poplarshift.core.quota

/**
 * Chooses which holder to ask for tokens of one organisation, from what each holder said it had left and what has been
 * refilled since.
 */
class HolderChoice {
    private val known = mutableMapOf<String, KnownSurplus>()
    private val silentAtMillis = mutableMapOf<String, Long>()

    /** Takes the surplus that [holder] reported. */
    fun learn(holder: String, surplus: Long, nowMillis: Long) {
        known[holder] = KnownSurplus(surplus, nowMillis)
    }

    /** Takes the fact that [holder] doesn't answer; it is asked again when others would be expected to be full. */
    fun learnSilent(holder: String, nowMillis: Long) {
        learn(holder, -SILENT_PENALTY, nowMillis)
        silentAtMillis[holder] = nowMillis
    }

    /** Whether [holder] did not answer lately. */
    fun isSilent(holder: String, nowMillis: Long): Boolean =
        silentAtMillis[holder]?.let { nowMillis - it < SILENT_MILLIS } ?: false

    /**
     * The holder to ask for [needed], or null when no holder is expected to have a useful amount. A holder of the
     * local zone that is expected to have enough comes first, then the one expected to have the most.
     */
    fun choose(holders: List<HolderShare>, excluded: Set<String>, needed: Long, nowMillis: Long): HolderShare? {
        val useful = minOf(needed, MicroTokens.ONE_TOKEN) / USEFUL_PARTS
        val candidates = holders.filter { it.holder !in excluded }
            .map { it to expected(it, nowMillis) }
            .filter { (_, surplus) -> surplus >= useful }
        val order = compareBy<Pair<HolderShare, Long>>(
            { (holder, surplus) -> holder.isLocal && surplus >= needed },
            { (_, surplus) -> surplus },
        )
        return candidates.maxWithOrNull(order)?.first
    }

    private fun expected(holder: HolderShare, nowMillis: Long): Long {
        val surplus = known[holder.holder] ?: return holder.share.capacity
        val elapsed = (nowMillis - surplus.atMillis).coerceIn(0, LONGEST_MILLIS)
        return minOf(holder.share.capacity, surplus.amount + holder.share.refillPerSecond * elapsed / 1_000)
    }

    private data class KnownSurplus(val amount: Long, val atMillis: Long)

    private companion object {
        /** A request for less than a sixteenth of what is needed costs more messages than it helps. */
        const val USEFUL_PARTS = 16
        const val SILENT_PENALTY = MicroTokens.ONE_TOKEN
        const val SILENT_MILLIS = 2_000L
        const val LONGEST_MILLIS = 3_600_000L
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
