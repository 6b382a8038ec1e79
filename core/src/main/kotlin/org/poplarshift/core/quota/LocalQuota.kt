package org.poplarshift.core.quota

import org.poplarshift.core.catalogue.Organisation

/**
 * The baseline to measure against: each VM admits an equal part of every organisation's limits by itself.
 *
 * @param vms the number of VMs that the limits are split over
 */
class LocalQuota(private val vms: Int, private val startedMillis: Long) {
    private val buckets = mutableMapOf<String, TokenBucket>()

    /** Spends one token of this VM's part, if there is one. */
    fun admit(organisation: Organisation, nowMillis: Long): Boolean {
        val share = SlotShare(
            refillPerSecond = (organisation.ratePerSecond * MicroTokens.ONE_TOKEN / vms).toLong(),
            capacity = (organisation.burst * MicroTokens.ONE_TOKEN / vms).toLong(),
        )
        val bucket = buckets.getOrPut(organisation.id) { TokenBucket(share, startedMillis) }
        bucket.useShare(share, nowMillis)
        if (bucket.free(nowMillis) < MicroTokens.ONE_TOKEN) return false
        bucket.spend(MicroTokens.ONE_TOKEN, nowMillis)
        return true
    }
}
