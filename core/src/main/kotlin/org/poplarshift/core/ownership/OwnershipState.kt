package org.poplarshift.core.ownership

/**
 * The state that results from the records of the stream `ownership`.
 *
 * @property firstOffset the offset of the first record read; above 0 when the log's retention had dropped older ones
 * @property nextOffset the offset after the last record applied
 * @property members processes by incarnation
 * @property claims current claims by slot
 * @property released slots that have been released and not claimed again
 */
data class OwnershipState(
    val firstOffset: Long = 0,
    val nextOffset: Long = firstOffset,
    val members: Map<String, Member> = emptyMap(),
    val claims: Map<Slot, SlotClaim> = emptyMap(),
    val released: Set<Slot> = emptySet(),
) {
    /** The processes of [availabilityZone] that have not ended. */
    fun liveMembers(availabilityZone: String): List<Member> = members.values.filter {
        it.availabilityZone == availabilityZone && it.endedAt == null
    }

    /** Whether the process [incarnation] is known not to have ended. */
    fun isLive(incarnation: String): Boolean = members[incarnation]?.let { it.endedAt == null } ?: false

    /**
     * The incarnations that vote on [claim]: processes of its zone that had joined and not ended as of
     * [SlotClaim.knownThrough].
     */
    fun electorate(claim: SlotClaim): Set<String> = members.values
        .filter { it.availabilityZone == claim.slot.availabilityZone && it.joinedAt <= claim.knownThrough }
        .filter { it.endedAt == null || it.endedAt > claim.knownThrough }
        .map { it.incarnation }
        .toSet()

    /**
     * Whether a majority of the electorate of [claim] has promised not to confirm it. Members that have ended count as
     * having promised, in addition to [voters].
     */
    fun isPromised(claim: SlotClaim, voters: Set<String>): Boolean {
        val electorate = electorate(claim)
        return electorate.count { it in voters || !isLive(it) } >= majorityOf(electorate)
    }

    companion object {
        /** The size of a majority of [electorate]. */
        fun majorityOf(electorate: Set<String>): Int = electorate.size / 2 + 1
    }
}
