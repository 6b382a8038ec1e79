package org.poplarshift.core.quota

/** The token leases that a VM has received for one organisation. A lender is identified by its incarnation. */
class ReceivedLeases {
    private val held = mutableListOf<HeldLease>()
    private val settled = LinkedHashMap<String, MutableList<SettledLease>>()
    private var settledSinceMillis: Long? = null

    /** Adds leases that were requested at [sentMillis]. */
    fun add(lender: String, leases: List<TokenLease>, sentMillis: Long) {
        leases.forEach { held += HeldLease(lender, it.leaseId, it.amount, sentMillis + it.durationMillis) }
        held.sortBy { it.expiresAtMillis }
    }

    /** The micro-tokens that can be spent now. */
    fun available(nowMillis: Long): Long {
        held.removeAll { it.expiresAtMillis <= nowMillis }
        return held.sumOf { it.amount }
    }

    /** Spends at most [amount], starting with the lease that expires first, and returns the amount spent. */
    fun spend(amount: Long, nowMillis: Long): Long {
        available(nowMillis)
        var missing = amount
        while (missing > 0 && held.isNotEmpty()) {
            val lease = held.first()
            val part = minOf(missing, lease.amount)
            lease.amount -= part
            missing -= part
            if (lease.amount == 0L) settle(lease, nowMillis)
        }
        return amount - missing
    }

    /** Ends all leases. Their tokens become unavailable before the lenders receive the settlements. */
    fun returnAll(nowMillis: Long) {
        held.toList().filter { it.expiresAtMillis > nowMillis }.forEach { settle(it, nowMillis) }
        held.clear()
    }

    /** Removes and returns the settlements for [lender]. */
    fun removeSettlements(lender: String): List<SettledLease> {
        val removed = settled.remove(lender).orEmpty()
        if (settled.isEmpty()) settledSinceMillis = null
        return removed
    }

    /** The lenders with settlements if the oldest settlement is at least [ageMillis] old, otherwise an empty list. */
    fun lendersToSettle(ageMillis: Long, nowMillis: Long): List<String> {
        val since = settledSinceMillis ?: return emptyList()
        return if (nowMillis - since >= ageMillis) settled.keys.toList() else emptyList()
    }

    /** Whether there are neither leases nor settlements. */
    fun isEmpty(nowMillis: Long): Boolean = available(nowMillis) == 0L && settled.isEmpty()

    private fun settle(lease: HeldLease, nowMillis: Long) {
        held.remove(lease)
        settled.getOrPut(lease.lender) { mutableListOf() } += SettledLease(lease.leaseId, lease.amount)
        if (settledSinceMillis == null) settledSinceMillis = nowMillis
    }

    private class HeldLease(val lender: String, val leaseId: Long, var amount: Long, val expiresAtMillis: Long)
}
