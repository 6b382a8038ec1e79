package org.poplarshift.core.ownership

/**
 * The claim in force of a slot.
 *
 * @property offset the offset of the claim, which is also the fencing token
 * @property version the offset of the claim or of its last reaffirmation; a takeover names it, so that a takeover
 * prepared with an older electorate is invalid
 * @property knownThrough the offset up to which joins count for the electorate
 * @property wait how long the holder waits before it uses the slot
 */
data class SlotClaim(
    val slot: Slot,
    val incarnation: String,
    val offset: Long,
    val version: Long,
    val knownThrough: Long,
    val wait: ClaimWait,
)

/** How long a new holder waits from when it saw its claim in force. */
enum class ClaimWait {
    /** Nobody held the slot. */
    NONE,

    /** A majority of the electorate promised, so that the former holder's lease can't be renewed. */
    LEASE,

    /** The former holder may be confirmed by a majority that can't be reached. */
    ISOLATION,
}
