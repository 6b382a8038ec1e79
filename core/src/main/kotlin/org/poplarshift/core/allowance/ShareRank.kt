package org.poplarshift.core.allowance

/**
 * The position of a node among the nodes of its zone, as far as its share of rate limits is concerned.
 *
 * A worse position counts at once, a better one only after [SETTLE_MILLIS]. Until then the node that was there before may
 * not have read that it has been replaced, and both would use the same share.
 */
class ShareRank {
    private var rank: Int? = null
    private var candidate: Int? = null
    private var candidateMillis = 0L

    /** Records the position [observed] from the members, or null if this node must use no share. */
    fun onObserved(observed: Int?, nowMillis: Long) {
        val current = settled(nowMillis)
        when {
            observed == null || (current != null && observed >= current) -> {
                rank = observed
                candidate = null
            }

            observed != candidate -> {
                candidate = observed
                candidateMillis = nowMillis
            }
        }
    }

    /**
     * Records the first position after a restart. It counts at once, because the other nodes have known this node all the
     * time and none has taken its place.
     */
    fun onRestarted(observed: Int) {
        rank = observed
        candidate = null
    }

    /** Returns the position that counts at [nowMillis], or null if the node must use no share. */
    fun settled(nowMillis: Long): Int? {
        if (candidate != null && nowMillis - candidateMillis >= SETTLE_MILLIS) {
            rank = candidate
            candidate = null
        }
        return rank
    }

    companion object {
        /** Time in milliseconds within which the nodes that reach the log have read a new member. */
        const val SETTLE_MILLIS = 2_000L
    }
}
