package org.poplarshift.node.status

import io.vertx.ext.web.Router
import org.poplarshift.node.NodeContext
import org.poplarshift.node.NodeLifecycle
import org.poplarshift.node.NodePart
import org.poplarshift.node.caller.CallerMetrics
import org.poplarshift.node.caller.OpenRequests
import org.poplarshift.node.configuration.ConfigurationStore
import org.poplarshift.node.http.json
import org.poplarshift.node.ownership.SlotOwnership
import org.poplarshift.node.peer.Peer
import org.poplarshift.node.peer.PeerDirectory

/** Serves `GET /status` on the peers port. */
class StatusRoute(
    private val context: NodeContext,
    private val peersRouter: Router,
    private val lifecycle: NodeLifecycle,
    private val configuration: ConfigurationStore,
    private val peers: PeerDirectory,
    private val openRequests: OpenRequests,
    private val metrics: CallerMetrics,
    private val slots: SlotOwnership,
) : NodePart {
    override suspend fun start() {
        peersRouter.get("/status").handler { it.json(StatusReport.serializer(), report()) }
    }

    private fun report() = StatusReport(
        vm = context.settings.vm,
        incarnation = context.incarnation,
        availabilityZone = context.settings.availabilityZone,
        state = lifecycle.state.value.name.lowercase(),
        configurationVersion = configuration.current.value.version,
        catalogueVersion = configuration.current.value.catalogueVersion,
        configurationAgeMillis = configuration.ageMillis,
        openRequests = openRequests.size,
        peers = peers.peers.value.map { status(it) },
        slots = slots.ownedSlots.value.map { "${it.slot}" }.sorted(),
        refusals = metrics.refusalCounts(),
    )

    private fun status(peer: Peer) = PeerStatus(
        vm = peer.vm,
        incarnation = peer.incarnation,
        availabilityZone = peer.availabilityZone,
        address = peer.address,
        isLeaving = peer.isLeaving,
    )
}
