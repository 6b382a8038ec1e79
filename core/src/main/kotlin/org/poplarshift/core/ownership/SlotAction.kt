package org.poplarshift.core.ownership

/** What [OwnershipProtocol] asks its process to do. */
sealed interface SlotAction {
    /** Append [record] to the stream `ownership`. */
    data class Append(val record: OwnershipRecord) : SlotAction

    /** Ask [voter] to confirm, and pass the answer on with the time at which the request was sent. */
    data class Confirm(val voter: Member, val request: SlotConfirmRequest) : SlotAction

    /** Ask [voter] to promise. */
    data class Promise(val voter: Member, val request: SlotPromiseRequest) : SlotAction
}
