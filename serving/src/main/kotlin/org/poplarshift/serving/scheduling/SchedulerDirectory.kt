package org.poplarshift.serving.scheduling

import org.poplarshift.core.dispatch.SchedulerPlacement
import org.poplarshift.serving.fleet.FleetMember
import org.poplarshift.serving.fleet.FleetMembers
import org.poplarshift.serving.peer.PeerReachability

/** Finds the coordinators of the zones, which run the schedulers, from the members of the fleet. */
class SchedulerDirectory(private val self: FleetMember, private val members: FleetMembers) {
    private val orders = HashMap<String, List<FleetMember>>()

    /** Returns the nodes of [zone] in the order in which they are to be its coordinator. */
    fun order(zone: String): List<FleetMember> = orders.getOrPut(zone) {
        val byName = all().associateBy { it.name }
        val candidates = byName.values.map { SchedulerPlacement.Candidate(it.name, it.zone, it.speed) }
        SchedulerPlacement.order(candidates, zone).map { byName.getValue(it.node) }
    }

    /** Returns the node that is to coordinate [zone], as far as this node can reach the others. */
    fun preferred(zone: String, reachability: PeerReachability): FleetMember? =
        order(zone).firstOrNull { !reachability.isSuspect(it.name) }

    /** Whether [member] is the first node of its zone. */
    fun isFirst(member: FleetMember): Boolean = order(member.zone).firstOrNull()?.name == member.name

    /** Returns all zones with nodes except [zone]. */
    fun otherZones(zone: String): Set<String> = all().map { it.zone }.filter { it != zone }.toSet()

    /** Applies a change of the members. */
    fun onMembersChanged() = orders.clear()

    private fun all(): List<FleetMember> = members.peers + self
}
