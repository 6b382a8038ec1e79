package org.poplarshift.core.membership

/**
 * What one node knows of the other VMs, merged from gossip, the joins in the stream `ownership` and the platform's
 * list. Gossip is the newest source; the list lags, and decides only about VMs that no gossip mentions.
 */
class MembershipView(private val settings: MembershipSettings, self: Member) {
    private class Entry(val member: Member, val heardMillis: Long)

    private class Listed(val availabilityZone: String, val address: String, val isLeaving: Boolean)

    private val entries = mutableMapOf(self.incarnation to Entry(self, 0))
    private val left = mutableSetOf<String>()
    private val joins = mutableMapOf<String, Member>()
    private var listed = emptyMap<String, Listed>()

    /** The entry of this node. */
    var self = self
        private set

    /** Increases this node's own heartbeat; called once per round of gossip. */
    fun beat(state: MemberState, nowMillis: Long) {
        self = self.copy(heartbeat = self.heartbeat + 1, state = state)
        entries[self.incarnation] = Entry(self, nowMillis)
    }

    /** The digest to send in an exchange. Members that are lost stay out, so that no peer hears of them anew. */
    fun digest(nowMillis: Long): MembershipDigest =
        MembershipDigest(current(nowMillis).associate { it.incarnation to it.heartbeat })

    /** Answers the digest of a peer. */
    fun answer(digest: MembershipDigest, nowMillis: Long): MembershipDelta {
        val newer = current(nowMillis).filter { it.heartbeat > (digest.heartbeats[it.incarnation] ?: NONE) }
        val wanted = digest.heartbeats.filter { (incarnation, heartbeat) ->
            incarnation !in left && heartbeat > (entries[incarnation]?.member?.heartbeat ?: NONE)
        }
        return MembershipDelta(newer, wanted.keys.toList())
    }

    /** The entries that a peer asked for. */
    fun entriesFor(wanted: List<String>, nowMillis: Long): MembershipDelta =
        MembershipDelta(current(nowMillis).filter { it.incarnation in wanted })

    /** Merges entries of a peer; returns whether any was new. */
    fun merge(delta: MembershipDelta, nowMillis: Long): Boolean = delta.newer.count { merge(it, nowMillis) } > 0

    /** Takes a join in the stream `ownership`; [member] has the heartbeat 0. */
    fun onJoined(member: Member) {
        if (member.incarnation !in left) joins[member.incarnation] = member
    }

    /** Takes the end of an incarnation in the stream `ownership`. */
    fun onLeft(incarnation: String) {
        left += incarnation
        joins -= incarnation
        entries -= incarnation
    }

    /** Takes a reading of the platform's list. */
    fun onListed(vm: String, availabilityZone: String, address: String, isLeaving: Boolean) {
        listed = listed + (vm to Listed(availabilityZone, address, isLeaving))
    }

    /** Takes that the platform's list has exactly [vms]. */
    fun retainListed(vms: Set<String>) {
        listed = listed.filterKeys { it in vms }
        joins.values.removeIf { it.vm !in vms }
    }

    /** All other VMs with what this node knows of them. */
    fun others(nowMillis: Long): List<ViewedVm> {
        forget(nowMillis)
        val heard = entries.values.filter { it.member.vm != self.vm }.groupBy { it.member.vm }
        val known = heard.mapValues { (_, entries) -> viewed(entries.maxBy { it.heardMillis }, nowMillis) }
        val joined = joins.values.filter { it.vm != self.vm }.associate { it.vm to it.viewed(VmCondition.UNHEARD) }
        val fromList = listed.filterKeys { it != self.vm }.mapValues { (vm, entry) ->
            val condition = if (entry.isLeaving) VmCondition.LEAVING else VmCondition.UNHEARD
            ViewedVm(vm, null, entry.availabilityZone, entry.address, condition)
        }
        return (fromList + joined + known).values.sortedBy { it.vm }
    }

    private fun merge(member: Member, nowMillis: Long): Boolean {
        val present = entries[member.incarnation]
        if (member.incarnation == self.incarnation || member.incarnation in left) return false
        if (present != null && present.member.heartbeat >= member.heartbeat) return false
        entries[member.incarnation] = Entry(member, nowMillis)
        return true
    }

    private fun current(nowMillis: Long): List<Member> =
        entries.values.filter { it.member == self || !isLost(it, nowMillis) }.map { it.member }

    private fun isLost(entry: Entry, nowMillis: Long) = nowMillis - entry.heardMillis > settings.lostMillis

    private fun viewed(entry: Entry, nowMillis: Long): ViewedVm {
        val isListedLeaving = listed[entry.member.vm]?.isLeaving == true
        return entry.member.viewed(
            when {
                isLost(entry, nowMillis) -> VmCondition.LOST
                entry.member.state == MemberState.LEAVING || isListedLeaving -> VmCondition.LEAVING
                else -> VmCondition.LIVE
            },
        )
    }

    private fun Member.viewed(condition: VmCondition) = ViewedVm(vm, incarnation, availabilityZone, address, condition)

    private fun forget(nowMillis: Long) {
        entries.values.removeIf { it.member != self && nowMillis - it.heardMillis > settings.forgetMillis }
    }

    private companion object {
        const val NONE = -1L
    }
}
