package org.poplarshift.core.ownership

/** The latest confirmation by each voter for each claim of this process. */
class SlotConfirmations(private val incarnation: String) {
    private val sentMillisByVoter = mutableMapOf<SlotVersion, MutableMap<String, Long>>()

    /** Adds the confirmations in the response to a request that was sent at [sentMillis]. */
    fun add(response: SlotConfirmResponse, sentMillis: Long) {
        response.notPromised.forEach { claim ->
            val byVoter = sentMillisByVoter.getOrPut(claim) { mutableMapOf() }
            byVoter[response.incarnation] = maxOf(sentMillis, byVoter[response.incarnation] ?: sentMillis)
        }
    }

    /** Removes the confirmations of all claims except [current]. */
    fun retain(current: Set<SlotVersion>) {
        sentMillisByVoter.keys.retainAll(current)
    }

    /**
     * When the earliest request of the most recent majority for [claim] was sent, in milliseconds, or null if there is
     * no majority. The holder votes for itself if it is in the electorate.
     */
    fun majoritySentMillis(claim: SlotClaim, state: OwnershipState, nowMillis: Long): Long? {
        val electorate = state.electorate(claim)
        val byVoter = sentMillisByVoter[SlotVersion(claim.slot, claim.version)].orEmpty() + (incarnation to nowMillis)
        val newestFirst = byVoter.filterKeys { it in electorate }.values.sortedDescending()
        return newestFirst.getOrNull(OwnershipState.majorityOf(electorate) - 1)
    }
}
