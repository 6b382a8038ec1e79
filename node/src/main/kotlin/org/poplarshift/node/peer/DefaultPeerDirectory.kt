package org.poplarshift.node.peer

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import org.poplarshift.core.membership.Member
import org.poplarshift.core.membership.MemberState
import org.poplarshift.core.membership.MembershipDelta
import org.poplarshift.core.membership.MembershipDigest
import org.poplarshift.core.membership.MembershipSettings
import org.poplarshift.core.membership.MembershipView
import org.poplarshift.core.membership.ViewedVm
import org.poplarshift.core.membership.VmCondition
import org.poplarshift.ports.ListedVm
import org.poplarshift.ports.VmState
import org.poplarshift.serving.MonotonicClock

/** Publishes what [MembershipView] knows of the other nodes. */
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
     * Addresses of other nodes to exchange with. Lost nodes are included, because they may have been partitioned from
     * this one, and seeds, because nothing else may be known.
     */
    fun exchangeTargets(): List<String> =
        (view.others(clock.millis()).map { it.address } + seedPeers).distinct() - view.self.address

    /** Increases this node's heartbeat. Called once for each round of gossip. */
    fun incrementHeartbeat(isLeaving: Boolean) {
        view.beat(if (isLeaving) MemberState.LEAVING else MemberState.LIVE, clock.millis())
        publish()
    }

    /** What this node knows, by heartbeats. */
    fun digest(): MembershipDigest = view.digest(clock.millis())

    /** The entries that a peer with [digest] lacks, and a request for those that this node lacks. */
    fun deltaFor(digest: MembershipDigest): MembershipDelta = view.answer(digest, clock.millis())

    /** The entries that a peer asked for. */
    fun entriesFor(wanted: List<String>): MembershipDelta = view.entriesFor(wanted, clock.millis())

    /** Takes in a new reading of the platform's list. */
    fun onVmList(vms: List<ListedVm>) {
        vms.forEach { view.onListed(it.vm, it.availabilityZone, it.peerAddress, it.state == VmState.LEAVING) }
        view.retainListed(vms.mapTo(HashSet()) { it.vm })
        publish()
    }

    /** Takes in what another node says. */
    fun merge(sender: Member, delta: MembershipDelta) {
        view.merge(delta.copy(newer = delta.newer + sender), clock.millis())
        publish()
    }

    private fun publish() {
        mutablePeers.value = view.others(clock.millis()).filter { it.condition != VmCondition.LOST }.map { peer(it) }
    }

    private fun peer(vm: ViewedVm) = Peer(
        vm = vm.vm,
        incarnation = vm.incarnation ?: UNKNOWN_INCARNATION,
        availabilityZone = vm.availabilityZone,
        address = vm.address,
        isLeaving = vm.condition == VmCondition.LEAVING,
    )

    companion object {
        /** The incarnation of a peer that is known only from the platform's list. */
        const val UNKNOWN_INCARNATION = ""
    }
}
