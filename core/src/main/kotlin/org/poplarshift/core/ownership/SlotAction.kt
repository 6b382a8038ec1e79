package org.poplarshift.core.ownership

/** An action that [OwnershipProtocol] requests from its caller. */
sealed interface SlotAction {
    /** Append [record] to the stream `ownership`. */
    data class Append(val record: OwnershipRecord) : SlotAction

    /**
     * Send [request] to [voter] and pass the response to [OwnershipProtocol.onConfirmResponse], with the time at which
     * the request was sent.
     */
    data class Confirm(val voter: Member, val request: SlotConfirmRequest) : SlotAction

    /** Send [request] to [voter] and pass the response to [OwnershipProtocol.onPromiseResponse]. */
    data class Promise(val voter: Member, val request: SlotPromiseRequest) : SlotAction
}
