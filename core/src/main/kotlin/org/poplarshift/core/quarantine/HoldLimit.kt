package org.poplarshift.core.quarantine

/** Bounds how many workers of an upstream may be kept free for suspects at once, so that most keep serving. */
object HoldLimit {
    /** At most a quarter of [workers], at least one. */
    fun maximumHolds(workers: Int): Int = maxOf(1, workers / 4)
}
