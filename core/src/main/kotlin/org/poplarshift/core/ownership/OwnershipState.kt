package org.poplarshift.core.ownership

/**
 * What the records of the stream `ownership` say.
 *
 * @property firstOffset the offset of the first record read; above 0 when older ones had left the log's retention
 * @property nextOffset the offset after the last record applied
 * @property members processes by incarnation
 * @property claims claims in force by slot
 * @property released slots that were released and not claimed since
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

    /** The voters on [claim]: those that had joined its zone, and not ended, when its holder last read the log. */
    fun electorate(claim: SlotClaim): Set<String> = members.values
        .filter { it.availabilityZone == claim.slot.availabilityZone && it.joinedAt <= claim.knownThrough }
        .filter { it.endedAt == null || it.endedAt > claim.knownThrough }
        .map { it.incarnation }
        .toSet()

    /** Whether [voters], together with those members that have ended, are a majority that promised [claim] away. */
    fun isPromised(claim: SlotClaim, voters: Set<String>): Boolean {
        val electorate = electorate(claim)
        return electorate.count { it in voters || !isLive(it) } >= majorityOf(electorate)
    }

    companion object {
        /** The size of a majority of [electorate]. */
        fun majorityOf(electorate: Set<String>): Int = electorate.size / 2 + 1
    }
}
