package org.poplarshift.node.caller

import org.poplarshift.core.verdict.RunStatus

/** Tracks whether a request may have run, so that this can be read after a cancellation during an attempt. */
class AttemptProgress {
    var ran = RunStatus.NOT_RUN
        private set

    /** Marks the start of an attempt, after which a worker may run the request. */
    fun begin() {
        ran = RunStatus.MAY_HAVE_RUN
    }

    /** Marks the end of an attempt; [ran] covers all attempts so far. */
    fun end(ran: RunStatus) {
        this.ran = ran
    }
}
