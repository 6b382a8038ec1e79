package org.poplarshift.serving.scheduling

import org.poplarshift.core.dispatch.SchedulerPlacement
import org.poplarshift.serving.fleet.FleetMember
import org.poplarshift.serving.fleet.FleetMembers
import org.poplarshift.serving.peer.PeerReachability

/** Finds the nodes that run the schedulers, from the members of the fleet. */
class SchedulerDirectory(private val self: FleetMember, private val members: FleetMembers) {
    private val orders = HashMap<Pair<String, String>, List<FleetMember>>()

    /** Returns the nodes that may run the scheduler of [service] in [zone], in the order in which they are asked. */
    fun order(zone: String, service: String): List<FleetMember> = orders.getOrPut(zone to service) {
        val byName = all().associateBy { it.name }
        val candidates = byName.values.map { SchedulerPlacement.Candidate(it.name, it.zone, it.speed) }
        SchedulerPlacement.order(candidates, zone, service).map { byName.getValue(it.node) }
    }

    /** Returns the node that is to run the scheduler of [service] in [zone], as far as this node can reach the others. */
    fun preferred(zone: String, service: String, reachability: PeerReachability): FleetMember? =
        order(zone, service).firstOrNull { !reachability.isSuspect(it.name) }

    /** Whether [member] is the first node to run the scheduler of [service] in its zone. */
    fun isFirst(member: FleetMember, service: String): Boolean =
        order(member.zone, service).firstOrNull()?.name == member.name

    /** Returns all zones with nodes except [zone]. */
    fun otherZones(zone: String): Set<String> = all().map { it.zone }.filter { it != zone }.toSet()

    /** Applies a change of the members. */
    fun onMembersChanged() = orders.clear()

    private fun all(): List<FleetMember> = members.peers + self
}
