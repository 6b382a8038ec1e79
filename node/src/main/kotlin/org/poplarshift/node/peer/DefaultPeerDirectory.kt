package org.poplarshift.node.peer

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import org.poplarshift.core.membership.KnownVm
import org.poplarshift.core.membership.Member
import org.poplarshift.core.membership.MemberState
import org.poplarshift.core.membership.MembershipDelta
import org.poplarshift.core.membership.MembershipDigest
import org.poplarshift.core.membership.MembershipSettings
import org.poplarshift.core.membership.MembershipView
import org.poplarshift.core.membership.VmCondition
import org.poplarshift.ports.ListedVm
import org.poplarshift.ports.VmState
import org.poplarshift.serving.MonotonicClock

/** Publishes the other nodes of a [MembershipView]. */
class DefaultPeerDirectory(
    self: Member,
    private val seedPeers: List<String>,
    private val clock: MonotonicClock,
    settings: MembershipSettings = MembershipSettings(),
) : PeerDirectory {
    private val view = MembershipView(settings, self)
    private val mutablePeers = MutableStateFlow(emptyList<Peer>())

    override val peers: StateFlow<List<Peer>> = mutablePeers

    /** The entry of this node. */
    val self: Member get() = view.self

    /**
     * Returns the addresses of other nodes for exchanges. Lost nodes are included, because they may have been
     * partitioned from this node. Seeds are included, because no other address may be known.
     */
    fun exchangeTargets(): List<String> =
        (view.others(clock.millis()).map { it.address } + seedPeers).distinct() - view.self.address

    /** Increments this node's heartbeat. Called once in each gossip round. */
    fun incrementHeartbeat(isLeaving: Boolean) {
        view.incrementHeartbeat(if (isLeaving) MemberState.LEAVING else MemberState.LIVE, clock.millis())
        publish()
    }

    /** Returns the heartbeats of all nodes in this node's view. */
    fun digest(): MembershipDigest = view.digest(clock.millis())

    /** Returns the entries that a peer with [digest] lacks, and requests those that this node lacks. */
    fun deltaFor(digest: MembershipDigest): MembershipDelta = view.deltaFor(digest, clock.millis())

    /** Returns the entries that a peer requested. */
    fun entriesFor(wanted: List<String>): MembershipDelta = view.entriesFor(wanted, clock.millis())

    /** Applies a new version of the platform's list of VMs. */
    fun onVmList(vms: List<ListedVm>) {
        vms.forEach { view.onListed(it.vm, it.availabilityZone, it.peerAddress, it.state == VmState.LEAVING) }
        view.retainListed(vms.mapTo(HashSet()) { it.vm })
        publish()
    }

    /** Merges the entries that [sender] sent, and its own entry. */
    fun merge(sender: Member, delta: MembershipDelta) {
        view.merge(delta.copy(newer = delta.newer + sender), clock.millis())
        publish()
    }

    private fun publish() {
        mutablePeers.value = view.others(clock.millis()).filter { it.condition != VmCondition.LOST }.map { peer(it) }
    }

    private fun peer(vm: KnownVm) = Peer(
        vm = vm.vm,
        incarnation = vm.incarnation ?: UNKNOWN_INCARNATION,
        availabilityZone = vm.availabilityZone,
        address = vm.address,
        isLeaving = vm.condition == VmCondition.LEAVING,
    )

    companion object {
        /** The incarnation of a peer that is only in the platform's list. */
        const val UNKNOWN_INCARNATION = ""
    }
}
