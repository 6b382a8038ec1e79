package org.poplarshift.core.ownership

/**
 * The current claim of a slot.
 *
 * @property offset the offset of the claim, which is also the fencing token
 * @property version the offset of the claim or of its last reaffirmation; a takeover refers to it, so that a takeover
 * that is based on an older electorate is invalid
 * @property knownThrough the offset up to which joins and ends of processes determine the electorate
 * @property wait how long the holder must wait before it uses the slot
 */
data class SlotClaim(
    val slot: Slot,
    val incarnation: String,
    val offset: Long,
    val version: Long,
    val knownThrough: Long,
    val wait: ClaimWait,
)

/** How long a new holder waits after it has read its own valid claim; see [SlotTimes.waitMillis]. */
enum class ClaimWait {
    /** The slot had no holder. */
    NONE,

    /** A majority of the electorate promised, so the previous holder can't renew its lease. */
    LEASE,

    /** The previous holder may still be confirmed by a majority that the claimant can't reach. */
    ISOLATION,
}
