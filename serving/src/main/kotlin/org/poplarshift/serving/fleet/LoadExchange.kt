package org.poplarshift.serving.fleet

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.Json
import org.poplarshift.core.dispatch.NodeLoad
import org.poplarshift.core.dispatch.PeerLoads
import org.poplarshift.core.dispatch.WorkerBoard
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.serving.forward.WorkerDispatcher
import org.poplarshift.serving.peer.PeerClient
import org.poplarshift.serving.peer.PeerMessages
import org.poplarshift.serving.peer.PeerServer

/**
 * Tells the other nodes which requests this node has at the workers, and takes what they tell.
 *
 * Workers report their load only with their answers, so that nodes without this exchange would send to the same worker
 * or wait while another has room. Each change is told at once: when nodes heard of it only every 100 ms, several of them
 * sent to the worker that had been free, and requests waited there while others had room.
 */
class LoadExchange(
    private val scope: CoroutineScope,
    private val clock: MonotonicClock,
    private val own: FleetMember,
    private val members: FleetMembers,
    private val client: PeerClient,
    private val board: WorkerBoard,
    private val dispatcher: WorkerDispatcher,
    private val reachesLog: () -> Boolean,
) {
    private val sending = HashSet<String>()
    private val overtaken = HashSet<String>()
    private var changed = CompletableDeferred<Unit>()
    private var lastBody = ""
    private var toldMillis = Long.MIN_VALUE
    private var firstPeer = 0

    /** What the others have told. */
    val loads = PeerLoads()

    /** Takes messages of other nodes. */
    fun serve(server: PeerServer) {
        server.on(PATH) { body -> if (receive(body)) "" else null }
    }

    /** Takes that the requests of this node have changed. */
    fun onChange() {
        changed.complete(Unit)
    }

    /** Tells the others until it is cancelled. */
    suspend fun run() {
        while (true) {
            withTimeoutOrNull(ROUND_MILLIS) { changed.await() }
            changed = CompletableDeferred()
            applyLoads()
            val body = Json.encodeToString(NodeLoad.serializer(), load())
            // What has not changed is repeated before the others forget it.
            if (body == lastBody && clock.millis() - toldMillis < REPEAT_MILLIS) continue
            lastBody = body
            toldMillis = clock.millis()
            receivers().forEach { send(it) }
            delay(SPACING_MILLIS)
        }
    }

    private fun applyLoads() {
        loads.apply(board, clock.millis())
        dispatcher.onPeerLoadsChanged()
    }

    private fun receivers(): List<FleetMember> {
        val peers = members.peers.sortedBy { it.name }
        if (peers.size <= RECEIVERS) return peers
        firstPeer = (firstPeer + RECEIVERS) % peers.size
        return List(RECEIVERS) { peers[(firstPeer + it) % peers.size] }
    }

    private fun send(peer: FleetMember) {
        // A peer that does not answer gets no second message meanwhile, and the newest one afterwards.
        if (!sending.add(peer.name)) {
            overtaken.add(peer.name)
            return
        }
        scope.launch {
            try {
                do {
                    overtaken.remove(peer.name)
                    client.post(peer, PATH, lastBody, SEND_MILLIS)
                } while (peer.name in overtaken)
            } finally {
                sending.remove(peer.name)
            }
        }
    }

    private fun load(): NodeLoad {
        val seats = board.all.filter { it.online + it.batch > 0 }
        return NodeLoad(
            node = own.name,
            zone = own.zone,
            online = seats.filter { it.online > 0 }.associate { it.worker.id to it.online },
            batch = seats.filter { it.batch > 0 }.associate { it.worker.id to it.batch },
            waiting = dispatcher.waitingOnline,
            reachesLog = reachesLog(),
        )
    }

    private fun receive(body: String): Boolean {
        val load = PeerMessages.decode(NodeLoad.serializer(), body, PART) ?: return false
        loads.onLoad(load, clock.millis())
        applyLoads()
        return true
    }

    private companion object {
        const val PART = "fleet"
        const val PATH = "/load"

        // The longest time without a look at what others have told, some of which may be too old by then.
        const val ROUND_MILLIS = 100L

        // Half of the time for which a load counts.
        const val REPEAT_MILLIS = 300L

        // A few times the delay between zones: a later request of the same moment goes into the same message.
        const val SPACING_MILLIS = 10L

        // In larger fleets the others are told in turn, which bounds the messages of a node.
        const val RECEIVERS = 16
        const val SEND_MILLIS = 400L
    }
}
