package org.poplarshift.verification.scenario

import org.poplarshift.core.catalogue.AvailabilityZone
import org.poplarshift.core.catalogue.BatchPolicy
import org.poplarshift.core.catalogue.Catalogue
import org.poplarshift.core.catalogue.Organisation
import org.poplarshift.core.catalogue.Route
import org.poplarshift.core.catalogue.Upstream
import org.poplarshift.core.catalogue.UpstreamKind
import org.poplarshift.core.catalogue.UpstreamTimeouts
import org.poplarshift.core.catalogue.Worker
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket

/**
 * The topology and addresses of a small federation on loopback. Zones are named `a`, `b`, ...; nodes `a-1`, `a-2`, ...
 * Each zone has two workers of the model upstream `writer` and one of the plain service `labels`.
 *
 * Every node has its own IP address, so that the stand-ins and the relay can partition it from the others.
 */
class FederationPlan(zoneCount: Int, nodesInZone: Int) {
    val zones = (0 until zoneCount).map { ('a' + it).toString() }
    val nodes = zones.flatMapIndexed { zoneIndex, zone -> List(nodesInZone) { node(zone, zoneIndex, it + 1) } }
    val platformPort = freePort(LOOPBACK)
    val engines = zones.flatMap { zone ->
        List(WRITERS_IN_ZONE) { worker("writer-$zone-${it + 1}", zone, capacity = 8) }
    }
    val services = zones.map { worker("labels-$it", it, capacity = 16) }

    /** Returns the node named [vm]. */
    fun node(vm: String): PlannedNode = nodes.first { it.vm == vm }

    /** Returns the nodes in [zone]. */
    fun nodesInZone(zone: String): List<PlannedNode> = nodes.filter { it.zone == zone }

    /** Returns a catalogue of this federation with [organisations]. */
    fun catalogue(organisations: List<Organisation>): Catalogue = Catalogue(
        zones = zones.map { AvailabilityZone(name = it, region = "loopback", slots = SLOTS_IN_ZONE) },
        organisations = organisations,
        upstreams = listOf(
            Upstream(
                id = "writer",
                owner = "models",
                kind = UpstreamKind.MODEL,
                workers = engines,
                models = listOf("writer"),
                timeouts = UpstreamTimeouts(firstByteMillis = 5_000, idleMillis = 3_000),
            ),
            Upstream(
                id = "labels",
                owner = "shipping",
                kind = UpstreamKind.SERVICE,
                workers = services,
                timeouts = UpstreamTimeouts(firstByteMillis = 3_000, idleMillis = 3_000),
            ),
        ),
        routes = listOf(
            Route("print-label", "shipping", "POST", "/labels", "labels", idempotent = false),
            Route("opening-hours", "shipping", "GET", "/hours", "labels", open = true),
        ),
        batch = BatchPolicy(headroom = 1),
    )

    private fun node(zone: String, zoneIndex: Int, number: Int): PlannedNode {
        val nodeIp = InetAddress.getByName("127.0.${zoneIndex + 1}.$number")
        val relayIp = InetAddress.getByName("127.1.${zoneIndex + 1}.$number")
        return PlannedNode(
            vm = "$zone-$number",
            zone = zone,
            callerAddress = InetSocketAddress(nodeIp, freePort(nodeIp)),
            peerListenAddress = InetSocketAddress(nodeIp, freePort(nodeIp)),
            peerAddress = InetSocketAddress(relayIp, freePort(relayIp)),
        )
    }

    private fun worker(id: String, zone: String, capacity: Int) =
        Worker(id = id, address = "127.0.0.1:${freePort(LOOPBACK)}", zone = zone, capacity = capacity)

    // The OS may return a port again before it is bound, and two stand-ins on one port would share its requests.
    private fun freePort(address: InetAddress): Int =
        generateSequence { ServerSocket(0, 1, address).use { it.localPort } }.first { usedPorts.add(it) }

    companion object {
        /** Number of ownership slots in each zone. */
        const val SLOTS_IN_ZONE = 2
        private const val WRITERS_IN_ZONE = 2
        private val usedPorts = HashSet<Int>()
        private val LOOPBACK: InetAddress = InetAddress.getByName("127.0.0.1")
    }
}

/**
 * The addresses of one node.
 *
 * @property peerListenAddress address on which the node listens for its peers
 * @property peerAddress address of the relay in front of the node, which the node advertises to its peers
 */
data class PlannedNode(
    val vm: String,
    val zone: String,
    val callerAddress: InetSocketAddress,
    val peerListenAddress: InetSocketAddress,
    val peerAddress: InetSocketAddress,
)

/** Returns the address as `IP:port`, the format of the settings. */
fun InetSocketAddress.hostAndPort(): String = "${address.hostAddress}:$port"
