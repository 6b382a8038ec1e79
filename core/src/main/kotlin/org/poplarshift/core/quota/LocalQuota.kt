package org.poplarshift.core.quota

import org.poplarshift.core.catalogue.Organisation

/**
 * The baseline for measurements: each VM admits an equal part of the limits of every organisation independently.
 *
 * @param vms the number of VMs over which the limits are split
 */
class LocalQuota(private val vms: Int, private val startedMillis: Long) {
    private val buckets = mutableMapOf<String, TokenBucket>()

    /** Spends one token of this VM's part and returns whether one was available. */
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
