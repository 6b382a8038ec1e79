package org.poplarshift.standins.http

/** Monotonic milliseconds. */
internal fun monotonicMillis(): Long = System.nanoTime() / 1_000_000
