package org.poplarshift.core.routing

/**
 * Limits outlier ejection to half of an upstream's workers, because failures of more workers have a common cause
 * elsewhere.
 */
class OutlierEjection {
    /** Returns the keys of the ejected workers among all workers of an upstream, most consecutive failures first. */
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
