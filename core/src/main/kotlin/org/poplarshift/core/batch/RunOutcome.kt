package org.poplarshift.core.batch

import org.poplarshift.core.verdict.RefusalReason
import org.poplarshift.core.verdict.RunStatus

/** What the end of a run means for its item. */
sealed interface RunOutcome {
    /** The item has succeeded. */
    data class Done(val status: Int) : RunOutcome

    /** The item has failed for good. */
    data class Failed(val reason: RefusalReason, val ran: RunStatus, val status: Int? = null) : RunOutcome

    /** The item runs again later. */
    data class Retry(val reason: RefusalReason) : RunOutcome

    /** The run was given up before, because of a cancel, a yield or the loss of the slot: its result is dropped. */
    data object Dropped : RunOutcome
}
