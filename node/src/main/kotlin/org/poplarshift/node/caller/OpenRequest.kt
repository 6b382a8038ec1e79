package org.poplarshift.node.caller

import kotlinx.coroutines.Job
import org.poplarshift.core.verdict.RefusalReason

/**
 * A caller's request that has not ended.
 *
 * @property keyId the key that it carried, or null on a route that is open to all
 */
class OpenRequest(val requestId: String, val keyId: String?, private val job: Job) {
    /** Why the node ends the request early, or null. */
    var endReason: RefusalReason? = null
        private set

    /** Cancels the request for [reason]. */
    fun end(reason: RefusalReason) {
        if (endReason != null) return
        endReason = reason
        job.cancel()
    }
}
