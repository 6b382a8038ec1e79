package org.poplarshift.serving.ratelimit

import kotlinx.coroutines.delay
import org.poplarshift.core.allowance.TokenDemand
import org.poplarshift.core.allowance.ZoneShares
import org.poplarshift.core.ingress.IngressOrganisation

/**
 * Coordinators of [zones] zones that send messages to each other, each after [oneWayMillis].
 *
 * @property unreachable zones whose coordinators are not running or cut off
 */
class FakeTokenSources(private val zones: Int, private val oneWayMillis: Long = 2) {
    val limiters = ArrayList<RateLimiter>()
    val unreachable = HashSet<Int>()
    var messages = 0

    private val names = List(zones) { "zone-$it" }

    /** Returns the access of the coordinator of [zone]. It holds no share if it is a [isStandby]. */
    fun of(zone: Int, isStandby: Boolean = false) = object : TokenSource {
        private val suspects = HashSet<String>()

        override fun ownShare(organisation: IngressOrganisation): Double =
            if (isStandby) 0.0 else share(names[zone], organisation)

        override fun holders(organisation: IngressOrganisation): List<TokenHolder> = names
            .filter { it != names[zone] && (it !in suspects || names.indexOf(it) !in unreachable) }
            .map { TokenHolder(it, share(it, organisation)) }
            .filter { it.share > 0 }

        override suspend fun borrow(
            node: String,
            organisation: String,
            demand: TokenDemand,
            requests: Int,
        ): TokenGrant? {
            messages += 2
            val lender = names.indexOf(node)
            if (lender in unreachable || (zone in unreachable && !isStandby)) {
                delay(TIMEOUT_MILLIS)
                suspects += node
                return null
            }
            delay(oneWayMillis)
            val grant = limiters[lender].lend(organisation, demand, requests)
            delay(oneWayMillis)
            return grant
        }
    }

    private fun share(zone: String, organisation: IngressOrganisation): Double {
        val holders = ZoneShares.holders(names, organisation.name, organisation.burst)
        return if (zone in holders) ZoneShares.ofNode(0, zones, holders.size, organisation.burst) else 0.0
    }

    private companion object {
        const val TIMEOUT_MILLIS = 25L
    }
}
