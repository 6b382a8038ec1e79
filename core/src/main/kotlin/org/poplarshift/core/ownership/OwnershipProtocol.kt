package org.poplarshift.core.ownership

import org.poplarshift.core.ownership.OwnershipRecord.SlotReleased
import org.poplarshift.core.ownership.OwnershipRecord.VmLeft

/**
 * The ownership protocol of one process: the state read from the log, the leases on its slots and its votes. It does no
 * input or output: it returns the actions to perform, and the caller passes in the monotonic time in milliseconds.
 */
class OwnershipProtocol(
    private val identity: VmIdentity,
    private val times: SlotTimes = SlotTimes(),
    private val reducer: OwnershipReducer = OwnershipReducer(),
) {
    /** The state that results from the records read so far. */
    var state: OwnershipState = OwnershipState()
        private set

    private var lastReadStartedMillis: Long? = null
    private val leases = mutableMapOf<Slot, SlotLease>()
    private val voter = SlotVoter(identity.incarnation, times)
    private val confirmations = SlotConfirmations(identity.incarnation)
    private val claimant = SlotClaimant(identity, times)
    private val reaffirmation = SlotReaffirmation(identity, times)
    private var isLeaving = false

    /**
     * Sets the first offset that the log still retained when this process began to read.
     *
     * @throws IllegalStateException if records have been read already
     */
    fun startAt(firstOffset: Long) {
        check(state.nextOffset == 0L) { "ownership: already reading from offset ${state.firstOffset}" }
        state = OwnershipState(firstOffset = firstOffset)
    }

    /** Applies one record. */
    fun apply(offset: Long, record: OwnershipRecord, nowMillis: Long) {
        state = reducer.apply(state, offset, record)
        val own = state.claims.values.filter { it.incarnation == identity.incarnation }
        leases.values.removeIf { lease -> own.none { it.offset == lease.claim.offset } }
        own.filter { it.slot !in leases && !isLeaving }.forEach { leases[it.slot] = SlotLease(it, nowMillis, times) }
        confirmations.retain(own.map { SlotVersion(it.slot, it.version) }.toSet())
    }

    /** Skips the record at [offset], which no node can decode. */
    fun skip(offset: Long) {
        state = state.copy(nextOffset = maxOf(state.nextOffset, offset + 1))
    }

    /**
     * Confirms the leases after a read of the log that began at [startedMillis] and reached the end. The records of the
     * read must have been applied before.
     */
    fun onReadToEnd(startedMillis: Long) {
        lastReadStartedMillis = maxOf(startedMillis, lastReadStartedMillis ?: startedMillis)
        leases.values.forEach { it.confirmFromLog(startedMillis) }
    }

    /** The leases of this process, usable or not. */
    fun leases(): Collection<SlotLease> = leases.values

    /** The lease on [slot], or null if this process has none. */
    fun lease(slot: Slot): SlotLease? = leases[slot]

    /**
     * Returns the records to append and the requests to send; called about once a second.
     *
     * @param slots the number of slots of this process's zone, or 0 when it is unknown
     * @param listedAddresses peer addresses in the platform's VM list, or null when the list is unavailable
     */
    fun tick(slots: Int, listedAddresses: Set<String>?, nowMillis: Long): List<SlotAction> {
        if (isLeaving) return confirmRequests(nowMillis)
        return reaffirmation.step(state, leases.values, nowMillis) +
            castOwnVotes(claimant.step(state, slots, listedAddresses, nowMillis), nowMillis) +
            confirmRequests(nowMillis)
    }

    /** Handles the response to a confirm request that was sent at [sentMillis]. */
    fun onConfirmResponse(response: SlotConfirmResponse, sentMillis: Long, nowMillis: Long) {
        confirmations.add(response, sentMillis)
        leases.values.forEach { lease ->
            val claim = state.claims[lease.claim.slot] ?: return@forEach
            val age = response.readAgeMillis
            if (age != null && SlotVersion(claim.slot, claim.version) in response.inLog) {
                lease.confirmFromLog(sentMillis - times.withMargin(age))
            }
            confirmations.majoritySentMillis(claim, state, nowMillis)?.let { lease.confirmByMajority(it) }
        }
    }

    /** Votes on a holder's claims. */
    fun confirm(request: SlotConfirmRequest, nowMillis: Long): SlotConfirmResponse =
        voter.confirm(request, state, lastReadStartedMillis, nowMillis)

    /** Votes on a takeover; a holder doesn't promise its own slot, because its own vote counts when it is confirmed. */
    fun promise(request: SlotPromiseRequest, nowMillis: Long): SlotPromiseResponse {
        val isHolder = request.claim.slot in leases
        if (isHolder) return SlotPromiseResponse(identity.incarnation, request.claim, promised = false)
        return voter.promise(request, nowMillis)
    }

    /** Handles the response of a voter to a promise request. */
    fun onPromiseResponse(response: SlotPromiseResponse, nowMillis: Long) =
        claimant.onPromiseResponse(response, nowMillis)

    /** Stops claiming slots; the leases are kept until [leave]. */
    fun startLeaving() {
        isLeaving = true
    }

    /**
     * Ends all leases and votes and returns the records to append. A slot that was not in use yet is not released,
     * because its next holder still has to wait for earlier holders.
     */
    fun leave(nowMillis: Long): List<OwnershipRecord> {
        isLeaving = true
        val inUse = leases.values.filter { nowMillis >= it.usableFromMillis }.map { it.claim.slot }
        leases.clear()
        voter.close()
        return inUse.map { SlotReleased(it, identity.incarnation) } + VmLeft(identity.vm, identity.incarnation)
    }

    /** Handles the promise requests that are addressed to this process itself and returns the other actions. */
    private fun castOwnVotes(actions: List<SlotAction>, nowMillis: Long): List<SlotAction> {
        val own = actions.filterIsInstance<SlotAction.Promise>().filter { it.voter.incarnation == identity.incarnation }
        own.forEach { onPromiseResponse(promise(it.request, nowMillis), nowMillis) }
        return actions - own.toSet()
    }

    private fun confirmRequests(nowMillis: Long): List<SlotAction> {
        val isDue = leases.values.any { lease ->
            val age = lease.confirmationAgeMillis(nowMillis)
            age == null || age >= times.slotLeaseMillis * CONFIRMATION_DUE_SHARE
        }
        if (!isDue) return emptyList()
        val claims = leases.keys.mapNotNull { state.claims[it] }.map { SlotVersion(it.slot, it.version) }
        val request = SlotConfirmRequest(identity.incarnation, claims)
        return state.liveMembers(identity.availabilityZone)
            .filter { it.incarnation != identity.incarnation }
            .map { SlotAction.Confirm(it, request) }
    }

    private companion object {
        /** A read of the log every second confirms all slots. Peers receive requests only when it is overdue. */
        const val CONFIRMATION_DUE_SHARE = 0.4
    }
}
