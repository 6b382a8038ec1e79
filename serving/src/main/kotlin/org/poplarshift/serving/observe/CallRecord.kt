package org.poplarshift.serving.observe

import org.poplarshift.serving.ingress.CallerRequestHead

/** What is known of one call, for its log line and the metrics. */
class CallRecord(val head: CallerRequestHead, val method: String, val receivedMillis: Long) {
    var route: String? = null
    var organisation: String? = null

    /** Version of the configuration that decided, or null when none was known. */
    var version: Long? = null

    /** Workers that the request was sent to, each with what came of it. */
    var attempts: List<String> = emptyList()

    /** Milliseconds that it waited at this node for a worker with room. */
    var waitedMillis = 0L

    /** Monotonic milliseconds at which the whole request had been read, or null. */
    var readMillis: Long? = null

    /** Monotonic milliseconds at which the answer was begun, or null. */
    var answeredMillis: Long? = null

    /** How the call ended. */
    var outcome = "unknown"
        private set

    /** Notes the end; the first one counts. */
    fun end(outcome: String) {
        if (this.outcome == "unknown") this.outcome = outcome
    }
}
