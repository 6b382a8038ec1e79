package org.poplarshift.node.peer

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import org.poplarshift.node.MonotonicClock
import org.poplarshift.platform.ListedVm
import org.poplarshift.platform.VmState
import org.poplarshift.wire.NodeAnnouncement

/**
 * Merges what the platform's list, the settings and other nodes say about the nodes. What a node said about itself
 * takes precedence over the list, which lags; a node that said nothing for [forgetMillis] is known by the list alone.
 */
class DefaultPeerDirectory(
    private val ownAddress: String,
    private val seedPeers: List<String>,
    private val clock: MonotonicClock,
    private val forgetMillis: Long = 10_000,
) : PeerDirectory {
    private val announced = HashMap<String, Known>()
    private var listed = emptyList<ListedVm>()
    private val mutablePeers = MutableStateFlow(emptyList<Peer>())

    override val peers: StateFlow<List<Peer>> = mutablePeers

    /** The announcements to pass on to other nodes. */
    fun announcements(): List<NodeAnnouncement> {
        val now = clock.millis()
        return announced.values
            .filter { now - it.saidMillis < forgetMillis }
            .map { it.announcement.copy(ageMillis = now - it.saidMillis) }
    }

    /** Addresses of other nodes to exchange with, including seeds about which nothing else is known. */
    fun contacts(): List<String> = (peers.value.map { it.address } + seedPeers).distinct() - ownAddress

    /** Takes in a new reading of the platform's list. */
    fun listed(vms: List<ListedVm>) {
        listed = vms
        publish()
    }

    /** Takes in what other nodes say; the youngest announcement for an address wins. */
    fun learn(announcements: List<NodeAnnouncement>) {
        val now = clock.millis()
        for (announcement in announcements.filter { it.address != ownAddress }) {
            val said = now - announcement.ageMillis
            val known = announced[announcement.address]
            if (known == null || said > known.saidMillis) announced[announcement.address] = Known(announcement, said)
        }
        announced.values.removeIf { now - it.saidMillis >= forgetMillis }
        publish()
    }

    private fun publish() {
        val fromList = listed.filter { it.peerAddress != ownAddress }.associate { it.peerAddress to peer(it) }
        val fromPeers = announced.mapValues { peer(it.value.announcement) }
        mutablePeers.value = (fromList + fromPeers).values.sortedBy { it.address }
    }

    private fun peer(vm: ListedVm) = Peer(
        vm = vm.vm,
        incarnation = UNKNOWN_INCARNATION,
        availabilityZone = vm.availabilityZone,
        address = vm.peerAddress,
        isLeaving = vm.state == VmState.LEAVING,
    )

    private fun peer(announcement: NodeAnnouncement) = Peer(
        vm = announcement.vm,
        incarnation = announcement.incarnation,
        availabilityZone = announcement.availabilityZone,
        address = announcement.address,
        isLeaving = announcement.isLeaving,
    )

    private class Known(val announcement: NodeAnnouncement, val saidMillis: Long)

    companion object {
        /** The incarnation of a peer that is known only from the platform's list. */
        const val UNKNOWN_INCARNATION = ""
    }
}
