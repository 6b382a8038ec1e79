package org.poplarshift.core.quarantine

/** Limits how many workers of an upstream may be held for suspects at once, so that most serve other requests. */
object HoldLimit {
    /** Returns a quarter of [workers], but at least one. */
    fun maximumHolds(workers: Int): Int = maxOf(1, workers / 4)
}
