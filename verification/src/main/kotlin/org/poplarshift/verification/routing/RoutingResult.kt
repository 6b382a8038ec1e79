package org.poplarshift.verification.routing

/** The result of one run. The percentiles are of the time to first token. */
data class RoutingResult(
    val p50Millis: Double,
    val p99Millis: Double,
    val completed: Int,
    val refused: Int,
    val cacheHitRate: Double,
)
