package org.poplarshift.serving

/** Clock that never goes backwards, in milliseconds since an arbitrary origin. */
fun interface MonotonicClock {
    fun millis(): Long

    companion object {
        /** The JVM's monotonic clock. */
        val SYSTEM = MonotonicClock { System.nanoTime() / NANOS_PER_MILLI }

        private const val NANOS_PER_MILLI = 1_000_000L
    }
}
