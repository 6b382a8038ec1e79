package org.poplarshift.node

/** Milliseconds since 1970. Used only for times that several nodes compare, which tolerate an hour of clock skew. */
fun interface WallClock {
    fun millis(): Long

    companion object {
        /** The clock of the operating system. */
        val SYSTEM = WallClock { System.currentTimeMillis() }
    }
}
