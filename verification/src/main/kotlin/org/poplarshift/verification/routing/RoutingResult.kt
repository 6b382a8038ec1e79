package org.poplarshift.verification.routing

/** What one run showed; times to first token in milliseconds. */
data class RoutingResult(
    val p50Millis: Double,
    val p99Millis: Double,
    val completed: Int,
    val refused: Int,
    val cacheHitRate: Double,
)
