package org.poplarshift.core.ownership

/** The latest confirmation that each voter has given for each claim of this process. */
class SlotConfirmations(private val incarnation: String) {
    private val sentMillisByVoter = mutableMapOf<SlotVersion, MutableMap<String, Long>>()

    /** Takes the answer to a request that was sent at [sentMillis]. */
    fun add(response: SlotConfirmResponse, sentMillis: Long) {
        response.notPromised.forEach { claim ->
            val byVoter = sentMillisByVoter.getOrPut(claim) { mutableMapOf() }
            byVoter[response.incarnation] = maxOf(sentMillis, byVoter[response.incarnation] ?: sentMillis)
        }
    }

    /** Forgets all claims but [current]. */
    fun retain(current: Set<SlotVersion>) {
        sentMillisByVoter.keys.retainAll(current)
    }

    /**
     * When the earliest request of the newest majority for [claim] was sent, or null without a majority. The holder
     * votes for itself, if it is in the electorate.
     */
    fun majoritySentMillis(claim: SlotClaim, state: OwnershipState, nowMillis: Long): Long? {
        val electorate = state.electorate(claim)
        val byVoter = sentMillisByVoter[SlotVersion(claim.slot, claim.version)].orEmpty() + (incarnation to nowMillis)
        val newestFirst = byVoter.filterKeys { it in electorate }.values.sortedDescending()
        return newestFirst.getOrNull(OwnershipState.majorityOf(electorate) - 1)
    }
}
