package org.poplarshift.serving.ratelimit

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.serving.fleet.FleetMembers

/**
 * Gives up this node's share of the rate limits before other nodes take its place.
 *
 * The others count a node as gone when its record has not been renewed for [FleetMembers.EXPIRY_MILLIS] and they can read
 * the log. A node that can't renew its record but reaches at least half of its zone shares the outage of the log with them.
 */
class ShareGuard(
    private val clock: MonotonicClock,
    private val zone: String,
    private val members: FleetMembers,
    private val shares: ShareDirectory,
    private val isResponding: suspend (String) -> Boolean,
    private val onChange: () -> Unit,
) {
    /** Checks in regular intervals until cancelled. */
    suspend fun run() {
        while (true) {
            delay(INTERVAL_MILLIS)
            check()
        }
    }

    /** Decides once. */
    suspend fun check() {
        val isRenewed = clock.millis() - members.renewedMillis < RENEWAL_LIMIT_MILLIS
        val isDetached = !isRenewed && !reachesHalfOfZone()
        if (isDetached == shares.isDetached) return
        shares.setDetached(isDetached)
        onChange()
    }

    private suspend fun reachesHalfOfZone(): Boolean = coroutineScope {
        val others = members.peers.filter { it.zone == zone }
        val reached = others.map { async { isResponding(it.name) } }.awaitAll().count { it }
        2 * (reached + 1) >= others.size + 1
    }

    private companion object {
        const val INTERVAL_MILLIS = 1_000L

        // Less than the time after which the record of a node expires at the others, with time for the check.
        const val RENEWAL_LIMIT_MILLIS = 50_000L
    }
}
