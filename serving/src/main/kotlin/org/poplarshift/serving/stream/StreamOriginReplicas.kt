package org.poplarshift.serving.stream

import org.poplarshift.serving.fleet.FleetMember
import org.poplarshift.serving.scheduling.SchedulerDirectory

/**
 * Chooses the nodes that hold the origins of streams for others.
 *
 * The origins of a zone are held by its first two coordinators, and by the first coordinator of the next zone so that one
 * copy outlives the zone.
 */
class StreamOriginReplicas(private val self: FleetMember, private val directory: SchedulerDirectory) {
    /** Returns the other nodes that hold the origins of the streams that this node begins. */
    fun ofOwnStreams(): List<FleetMember> = excludingSelf(inOwnZone() + listOfNotNull(nextZone()?.let(::first)))

    /** Returns the other nodes of which at least one holds the origin of any stream. */
    fun ofAllStreams(): List<FleetMember> =
        excludingSelf(inOwnZone() + directory.otherZones(self.zone).mapNotNull(::first))

    private fun inOwnZone() = directory.order(self.zone).take(REPLICAS_IN_ZONE)

    private fun first(zone: String) = directory.order(zone).firstOrNull()

    private fun nextZone(): String? {
        val zones = directory.otherZones(self.zone).sorted()
        return zones.firstOrNull { it > self.zone } ?: zones.firstOrNull()
    }

    private fun excludingSelf(nodes: List<FleetMember>) = nodes.filter { it.name != self.name }

    private companion object {
        const val REPLICAS_IN_ZONE = 2
    }
}
