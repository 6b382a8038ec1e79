package org.poplarshift.standins.http

/** The current monotonic time in milliseconds. */
internal fun monotonicMillis(): Long = System.nanoTime() / 1_000_000
