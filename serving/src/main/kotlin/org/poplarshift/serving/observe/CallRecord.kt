package org.poplarshift.serving.observe

import org.poplarshift.serving.ingress.CallerRequestHead

/** Data of one call for its log line and metrics. */
class CallRecord(val head: CallerRequestHead, val method: String, val receivedMillis: Long) {
    var route: String? = null
    var organisation: String? = null

    /** Version of the configuration that applied to the call, or null when there was none. */
    var configurationVersion: Long? = null

    /** Ids of the parts of the prompt that other requests may have in common with this one. */
    var promptParts: List<String> = emptyList()

    /** Workers that the request was sent to, each with the outcome of the attempt. */
    var attempts: List<String> = emptyList()

    /** Whether a worker's response to one of the attempts was missing, incomplete or not usable. */
    var hasUnusableResponse = false

    /** Milliseconds that the request waited at this node for a worker with free capacity. */
    var waitedMillis = 0L

    /** Monotonic time in milliseconds at which the whole request had been read, or null. */
    var readMillis: Long? = null

    /** Monotonic time in milliseconds at which the response started, or null. */
    var responseStartMillis: Long? = null

    /** Whether the shutdown of the node has ended the call. */
    var isStopped = false

    /** How the call ended. */
    var outcome = "unknown"
        private set

    /** Sets the outcome. Only the first call has an effect. */
    fun end(outcome: String) {
        if (this.outcome == "unknown") this.outcome = outcome
    }
}
