package org.poplarshift.node.caller

import kotlinx.coroutines.Job
import org.poplarshift.core.verdict.RefusalReason

/**
 * A request in progress.
 *
 * @property keyId the id of the key that the request carries, or null on an open route
 */
class OpenRequest(val requestId: String, val keyId: String?, private val job: Job) {
    /** Why the request was cancelled, or null if it was not. */
    var endReason: RefusalReason? = null
        private set

    /** Cancels the request for [reason]. */
    fun end(reason: RefusalReason) {
        if (endReason != null) return
        endReason = reason
        job.cancel()
    }
}
