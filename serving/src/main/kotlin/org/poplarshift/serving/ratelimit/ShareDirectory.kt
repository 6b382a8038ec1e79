package org.poplarshift.serving.ratelimit

import io.github.oshai.kotlinlogging.KotlinLogging
import org.poplarshift.core.allowance.ShareRank
import org.poplarshift.core.allowance.ZoneShares
import org.poplarshift.core.ingress.IngressOrganisation
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.serving.fleet.FleetMember
import org.poplarshift.serving.scheduling.SchedulerDirectory

/**
 * Knows which nodes hold which shares of the rate limits, from the zones of the deployment and the members of the fleet.
 *
 * @param configuredZones the zones of the deployment, or nothing if the settings do not state them; then the zones of the
 *   members count
 */
class ShareDirectory(
    private val self: FleetMember,
    private val clock: MonotonicClock,
    private val configuredZones: Set<String>,
    private val directory: SchedulerDirectory,
) {
    private val rank = ShareRank()
    private var zones = configuredZones
    private var isObserved = false

    /** Whether this node gives up its share, because others may have replaced it. */
    var isDetached = false
        private set

    /**
     * Applies a change of the members. A node that does not find its own record among them uses no share, because the
     * others do not find it either. A node that has a predecessor takes over its share at once.
     */
    fun onMembersChanged(isMember: Boolean, hasPredecessor: Boolean = false) {
        if (configuredZones.isEmpty()) zones = directory.otherZones(self.zone) + self.zone
        val isFirst = !isObserved
        isObserved = true
        when {
            !isMember -> rank.onObserved(null, clock.millis())
            isFirst && hasPredecessor -> position()?.let { rank.onRestarted(it) }
            else -> observe()
        }
    }

    /** Gives up the share of this node, or takes it back after a time. */
    fun setDetached(isDetached: Boolean) {
        if (isDetached == this.isDetached) return
        this.isDetached = isDetached
        logger.warn {
            if (isDetached) {
                "rate limit: this node gives up its shares, because others may have replaced it"
            } else {
                "rate limit: this node uses its shares again"
            }
        }
        observe()
    }

    /** Returns the share of this node in the limit of [organisation]. */
    fun ownShare(organisation: IngressOrganisation): Double {
        val settled = rank.settled(clock.millis()) ?: return 0.0
        val holders = ZoneShares.holders(zones, organisation.name, organisation.burst)
        if (self.zone !in holders) return 0.0
        return ZoneShares.ofNode(settled, zones.size, holders.size, organisation.burst)
    }

    /** Returns the other nodes that hold a share in the limit of [organisation]. */
    fun holders(organisation: IngressOrganisation): List<TokenHolder> {
        val holders = ZoneShares.holders(zones, organisation.name, organisation.burst)
        return holders.flatMap { zone ->
            directory.order(zone).take(HOLDERS_OF_ZONE).mapIndexed { rank, member ->
                TokenHolder(member.name, ZoneShares.ofNode(rank, zones.size, holders.size, organisation.burst))
            }
        }.filter { it.share > 0 && it.node != self.name }
    }

    private fun observe() = rank.onObserved(position(), clock.millis())

    private fun position(): Int? =
        directory.order(self.zone).indexOfFirst { it.name == self.name }.takeIf { it >= 0 && !isDetached }

    private companion object {
        val logger = KotlinLogging.logger {}
        const val HOLDERS_OF_ZONE = 2
    }
}
