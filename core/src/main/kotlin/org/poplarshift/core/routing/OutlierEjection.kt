package org.poplarshift.core.routing

/** Limits outlier ejection to half of an upstream's workers, since failures of more have a common cause elsewhere. */
class OutlierEjection {
    /** The keys of the ejected workers among all workers of an upstream; the ones with most failures come first. */
    fun ejected(workers: Map<String, WorkerHealth>, nowMillis: Long): Set<String> {
        val outliers = workers.filterValues { it.isOutlier(nowMillis) }
        if (outliers.isEmpty()) return emptySet()
        return outliers.entries
            .sortedWith(
                compareByDescending<Map.Entry<String, WorkerHealth>> {
                    it.value.consecutiveFailures
                }.thenBy { it.key },
            )
            .take(workers.size / 2)
            .map { it.key }
            .toSet()
    }
}
