package org.poplarshift.core.ownership

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A record of the log stream `ownership`. */
@Serializable
sealed interface OwnershipRecord {
    /**
     * A process has started. The process appends the same record again before the log's retention drops the last one.
     *
     * @property peerAddress IP address and port of the peers listener
     */
    @Serializable
    @SerialName("vmJoined")
    data class VmJoined(
        val vm: String,
        val incarnation: String,
        val availabilityZone: String,
        val peerAddress: String,
    ) : OwnershipRecord

    /** A process has ended and no longer uses any slot. */
    @Serializable
    @SerialName("vmLeft")
    data class VmLeft(val vm: String, val incarnation: String) : OwnershipRecord

    /**
     * A process claims a slot.
     *
     * @property supersedes the version of the current claim that this one replaces, or null if there is none
     * @property knownThrough the offset of the last record that the claimant had read
     * @property knownFrom the offset of the first record that the claimant had read; above 0 when the log's retention
     * had dropped older records
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

    /** The holder reaffirms its claims, with the electorate as of the offset [knownThrough]. */
    @Serializable
    @SerialName("slotReaffirmed")
    data class SlotReaffirmed(val incarnation: String, val claims: List<ReaffirmedClaim>, val knownThrough: Long) :
        OwnershipRecord
}

/**
 * A claim that its holder reaffirms.
 *
 * @property offset the offset of the claim
 * @property inUse whether the wait for earlier holders is over
 */
@Serializable
data class ReaffirmedClaim(val slot: Slot, val offset: Long, val inUse: Boolean)
