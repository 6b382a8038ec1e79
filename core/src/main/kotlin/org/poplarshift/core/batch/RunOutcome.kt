package org.poplarshift.core.batch

import org.poplarshift.core.verdict.RefusalReason
import org.poplarshift.core.verdict.RunStatus

/** The consequence of the end of a run for its item. */
sealed interface RunOutcome {
    /** The item has succeeded. */
    data class Done(val status: Int) : RunOutcome

    /** The item has failed permanently. */
    data class Failed(val reason: RefusalReason, val ran: RunStatus, val status: Int? = null) : RunOutcome

    /** The item is queued for another attempt. */
    data class Retry(val reason: RefusalReason) : RunOutcome

    /** The result is discarded, because the run was cancelled, yielded or lost its slot, or its item has ended. */
    data object Dropped : RunOutcome
}
