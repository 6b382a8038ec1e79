package org.poplarshift.node.batch

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.poplarshift.core.verdict.RefusalReason

/** The outcome of a [BatchTask]. */
@Serializable
sealed interface TaskOutcome {
    /** The worker returned a complete response. */
    @Serializable
    @SerialName("answered")
    data class Answered(val status: Int, val body: String) : TaskOutcome

    /** The task certainly did not run. */
    @Serializable
    @SerialName("notRun")
    data class NotRun(val reason: RefusalReason) : TaskOutcome

    /** The task was sent but no complete response was received. */
    @Serializable
    @SerialName("mayHaveRun")
    data class MayHaveRun(val reason: RefusalReason) : TaskOutcome

    /** The task was cancelled because online requests needed its capacity. */
    @Serializable
    @SerialName("yielded")
    data object Yielded : TaskOutcome

    /** The request is refused by all nodes because it crashed workers. */
    @Serializable
    @SerialName("quarantined")
    data object Quarantined : TaskOutcome
}
