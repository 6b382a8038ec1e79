package org.poplarshift.node.caller

import org.poplarshift.core.verdict.RunStatus

/** Whether a request may have run, readable when its coroutine was cancelled within an attempt. */
class AttemptProgress {
    var ran = RunStatus.NOT_RUN
        private set

    /** An attempt begins: from here on a worker may run the request. */
    fun begin() {
        ran = RunStatus.MAY_HAVE_RUN
    }

    /** An attempt has ended; [ran] covers all attempts so far. */
    fun end(ran: RunStatus) {
        this.ran = ran
    }
}
