package org.poplarshift.core.membership

/**
 * The other VMs as seen by one node, merged from gossip, the join records in the stream `ownership` and the platform's
 * VM list. Gossip is the most recent source and takes precedence. The list lags; it provides VMs for which there is no
 * gossip entry, and it can mark a VM as leaving.
 */
class MembershipView(private val settings: MembershipSettings, self: Member) {
    private class Entry(val member: Member, val updatedMillis: Long)

    private class Listed(val availabilityZone: String, val address: String, val isLeaving: Boolean)

    private val entries = mutableMapOf(self.incarnation to Entry(self, 0))
    private val endedIncarnations = mutableSetOf<String>()
    private val joins = mutableMapOf<String, Member>()
    private var listed = emptyMap<String, Listed>()

    /** The entry of this node. */
    var self = self
        private set

    /** Increments this node's own heartbeat; called once per gossip round. */
    fun incrementHeartbeat(state: MemberState, nowMillis: Long) {
        self = self.copy(heartbeat = self.heartbeat + 1, state = state)
        entries[self.incarnation] = Entry(self, nowMillis)
    }

    /**
     * The digest to send in an exchange. Lost members are omitted, so that peers which have removed them don't add them
     * again.
     */
    fun digest(nowMillis: Long): MembershipDigest =
        MembershipDigest(currentMembers(nowMillis).associate { it.incarnation to it.heartbeat })

    /** Returns the entries that are newer here than in the digest of a peer, and requests the ones that are older. */
    fun deltaFor(digest: MembershipDigest, nowMillis: Long): MembershipDelta {
        val newer = currentMembers(nowMillis)
            .filter { it.heartbeat > (digest.heartbeats[it.incarnation] ?: UNKNOWN_HEARTBEAT) }
        val wanted = digest.heartbeats.filter { (incarnation, heartbeat) ->
            incarnation !in endedIncarnations &&
                heartbeat > (entries[incarnation]?.member?.heartbeat ?: UNKNOWN_HEARTBEAT)
        }
        return MembershipDelta(newer, wanted.keys.toList())
    }

    /** Returns the entries that a peer requested. */
    fun entriesFor(wanted: List<String>, nowMillis: Long): MembershipDelta =
        MembershipDelta(currentMembers(nowMillis).filter { it.incarnation in wanted })

    /** Merges entries of a peer and returns whether any of them was new. */
    fun merge(delta: MembershipDelta, nowMillis: Long): Boolean = delta.newer.count { merge(it, nowMillis) } > 0

    /** Handles a join record of the stream `ownership`; [member] has the heartbeat 0. */
    fun onJoined(member: Member) {
        if (member.incarnation !in endedIncarnations) joins[member.incarnation] = member
    }

    /** Handles a record of the stream `ownership` that shows that [incarnation] has ended. */
    fun onLeft(incarnation: String) {
        endedIncarnations += incarnation
        joins -= incarnation
        entries -= incarnation
    }

    /** Adds or updates an entry of the platform's VM list. */
    fun onListed(vm: String, availabilityZone: String, address: String, isLeaving: Boolean) {
        listed = listed + (vm to Listed(availabilityZone, address, isLeaving))
    }

    /** Removes listed and joined VMs that are not in [vms], the complete VM list of the platform. */
    fun retainListed(vms: Set<String>) {
        listed = listed.filterKeys { it in vms }
        joins.values.removeIf { it.vm !in vms }
    }

    /** All other VMs, sorted by name. */
    fun others(nowMillis: Long): List<KnownVm> {
        removeExpired(nowMillis)
        val byVm = entries.values.filter { it.member.vm != self.vm }.groupBy { it.member.vm }
        val known = byVm.mapValues { (_, entries) -> toKnownVm(entries.maxBy { it.updatedMillis }, nowMillis) }
        val joined = joins.values.filter { it.vm != self.vm }
            .associate { it.vm to it.toKnownVm(VmCondition.NO_HEARTBEAT) }
        val fromList = listed.filterKeys { it != self.vm }.mapValues { (vm, entry) ->
            val condition = if (entry.isLeaving) VmCondition.LEAVING else VmCondition.NO_HEARTBEAT
            KnownVm(vm, null, entry.availabilityZone, entry.address, condition)
        }
        return (fromList + joined + known).values.sortedBy { it.vm }
    }

    private fun merge(member: Member, nowMillis: Long): Boolean {
        val present = entries[member.incarnation]
        if (member.incarnation == self.incarnation || member.incarnation in endedIncarnations) return false
        if (present != null && present.member.heartbeat >= member.heartbeat) return false
        entries[member.incarnation] = Entry(member, nowMillis)
        return true
    }

    private fun currentMembers(nowMillis: Long): List<Member> =
        entries.values.filter { it.member == self || !isLost(it, nowMillis) }.map { it.member }

    private fun isLost(entry: Entry, nowMillis: Long) = nowMillis - entry.updatedMillis > settings.lostMillis

    private fun toKnownVm(entry: Entry, nowMillis: Long): KnownVm {
        val isListedLeaving = listed[entry.member.vm]?.isLeaving == true
        return entry.member.toKnownVm(
            when {
                isLost(entry, nowMillis) -> VmCondition.LOST
                entry.member.state == MemberState.LEAVING || isListedLeaving -> VmCondition.LEAVING
                else -> VmCondition.LIVE
            },
        )
    }

    private fun Member.toKnownVm(condition: VmCondition) =
        KnownVm(vm, incarnation, availabilityZone, address, condition)

    private fun removeExpired(nowMillis: Long) {
        entries.values.removeIf { it.member != self && nowMillis - it.updatedMillis > settings.forgetMillis }
    }

    private companion object {
        const val UNKNOWN_HEARTBEAT = -1L
    }
}
