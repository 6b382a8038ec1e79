package org.poplarshift.serving.fleet

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.Json
import org.poplarshift.core.dispatch.LoadBalancer
import org.poplarshift.core.dispatch.NodeLoad
import org.poplarshift.core.dispatch.PeerLoads
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.serving.forward.WorkerDispatcher
import org.poplarshift.serving.peer.PeerClient
import org.poplarshift.serving.peer.PeerMessages
import org.poplarshift.serving.peer.PeerServer

/**
 * Sends the load that this node causes at the workers to the other nodes and receives theirs.
 *
 * Workers report their load only in their responses. Without this exchange, nodes would send requests to the same
 * worker, or queue them while another worker is free. Each change is sent immediately: with updates only every 100 ms,
 * several nodes sent requests to the worker that had been free, and requests queued there while others were free.
 */
class LoadExchange(
    private val scope: CoroutineScope,
    private val clock: MonotonicClock,
    private val self: FleetMember,
    private val members: FleetMembers,
    private val client: PeerClient,
    private val loadBalancer: LoadBalancer,
    private val dispatcher: WorkerDispatcher,
    private val isLogReachable: () -> Boolean,
) {
    private val busyPeers = HashSet<String>()
    private val peersToResend = HashSet<String>()
    private var changed = CompletableDeferred<Unit>()
    private var lastBody = ""
    private var lastSentMillis = Long.MIN_VALUE
    private var firstPeer = 0

    /** The loads that the other nodes have reported. */
    val loads = PeerLoads()

    /** Registers the handler for load reports of other nodes at [server]. */
    fun serve(server: PeerServer) {
        server.on(PATH) { body -> if (receive(body)) "" else null }
    }

    /** Notifies this object that the requests of this node have changed. */
    fun onChange() {
        changed.complete(Unit)
    }

    /** Sends load reports to the other nodes until cancelled. */
    suspend fun run() {
        while (true) {
            withTimeoutOrNull(MAXIMUM_ROUND_MILLIS) { changed.await() }
            changed = CompletableDeferred()
            applyLoads()
            val body = Json.encodeToString(NodeLoad.serializer(), currentLoad())
            // An unchanged load is sent again before it expires at the other nodes.
            if (body == lastBody && clock.millis() - lastSentMillis < REPEAT_INTERVAL_MILLIS) continue
            lastBody = body
            lastSentMillis = clock.millis()
            recipients().forEach { send(it) }
            delay(MINIMUM_INTERVAL_MILLIS)
        }
    }

    private fun applyLoads() {
        loads.applyTo(loadBalancer, clock.millis())
        dispatcher.onPeerLoadsChanged()
    }

    private fun recipients(): List<FleetMember> {
        val peers = members.peers.sortedBy { it.name }
        if (peers.size <= MAXIMUM_RECIPIENTS) return peers
        firstPeer = (firstPeer + MAXIMUM_RECIPIENTS) % peers.size
        return List(MAXIMUM_RECIPIENTS) { peers[(firstPeer + it) % peers.size] }
    }

    private fun send(peer: FleetMember) {
        // While a message to a peer is unanswered, no second one is sent. The newest one follows afterwards.
        if (!busyPeers.add(peer.name)) {
            peersToResend.add(peer.name)
            return
        }
        scope.launch {
            try {
                do {
                    peersToResend.remove(peer.name)
                    client.post(peer, PATH, lastBody, SEND_TIMEOUT_MILLIS)
                } while (peer.name in peersToResend)
            } finally {
                busyPeers.remove(peer.name)
            }
        }
    }

    private fun currentLoad(): NodeLoad {
        val activeWorkers = loadBalancer.workerStates.filter { it.online + it.batch > 0 }
        return NodeLoad(
            node = self.name,
            zone = self.zone,
            online = activeWorkers.filter { it.online > 0 }.associate { it.worker.id to it.online },
            batch = activeWorkers.filter { it.batch > 0 }.associate { it.worker.id to it.batch },
            waiting = dispatcher.waitingOnline,
            reachesLog = isLogReachable(),
        )
    }

    private fun receive(body: String): Boolean {
        val load = PeerMessages.decode(NodeLoad.serializer(), body, COMPONENT) ?: return false
        loads.onLoad(load, clock.millis())
        applyLoads()
        return true
    }

    private companion object {
        const val COMPONENT = "fleet"
        const val PATH = "/load"

        // The longest interval between evaluations of the received loads, some of which may have expired by then.
        const val MAXIMUM_ROUND_MILLIS = 100L

        // Half of the time after which a reported load expires.
        const val REPEAT_INTERVAL_MILLIS = 300L

        // A few times the latency between zones. Combines changes in quick succession into one message.
        const val MINIMUM_INTERVAL_MILLIS = 10L

        // In larger fleets, each report goes to this many peers in rotation, which bounds the message rate of a node.
        const val MAXIMUM_RECIPIENTS = 16
        const val SEND_TIMEOUT_MILLIS = 400L
    }
}
