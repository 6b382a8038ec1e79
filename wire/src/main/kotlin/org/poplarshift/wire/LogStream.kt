package org.poplarshift.wire

/** Names of the log streams. */
object LogStream {
    const val CONFIGURATION = "configuration"
    const val OWNERSHIP = "ownership"
    const val BATCH = "batch"
    const val REQUESTS = "requests"
    const val QUARANTINE = "quarantine"
}
