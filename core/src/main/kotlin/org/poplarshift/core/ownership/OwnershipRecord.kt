package org.poplarshift.core.ownership

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A record of the log stream `ownership`. */
@Serializable
sealed interface OwnershipRecord {
    /**
     * A process has started. It is appended again, unchanged, before it leaves the log's retention.
     *
     * @property peerAddress IP number and port of the peers listener
     */
    @Serializable
    @SerialName("vmJoined")
    data class VmJoined(
        val vm: String,
        val incarnation: String,
        val availabilityZone: String,
        val peerAddress: String,
    ) : OwnershipRecord

    /** A process has ended and uses no slot any more. */
    @Serializable
    @SerialName("vmLeft")
    data class VmLeft(val vm: String, val incarnation: String) : OwnershipRecord

    /**
     * A VM wants to hold a slot.
     *
     * @property supersedes the version of the claim in force that this one replaces, or null when none is in force
     * @property knownThrough the offset of the last record that the claimant had read
     * @property knownFrom the offset of the first record that the claimant had read; above 0 when older records had
     * left the log's retention
     * @property promised whether a majority of the electorate of the superseded claim promised not to confirm it
     */
    @Serializable
    @SerialName("slotClaimed")
    data class SlotClaimed(
        val slot: Slot,
        val incarnation: String,
        val supersedes: Long?,
        val knownThrough: Long,
        val knownFrom: Long = 0,
        val promised: Boolean = false,
    ) : OwnershipRecord

    /** The holder has stopped using a slot that it was using. */
    @Serializable
    @SerialName("slotReleased")
    data class SlotReleased(val slot: Slot, val incarnation: String) : OwnershipRecord

    /** The holder keeps its slots, with the electorate as of [knownThrough]. */
    @Serializable
    @SerialName("slotReaffirmed")
    data class SlotReaffirmed(val incarnation: String, val claims: List<ReaffirmedClaim>, val knownThrough: Long) :
        OwnershipRecord
}

/**
 * A claim that its holder reaffirms.
 *
 * @property offset the offset of the claim
 * @property inUse whether the holder has waited out its predecessors
 */
@Serializable
data class ReaffirmedClaim(val slot: Slot, val offset: Long, val inUse: Boolean)
