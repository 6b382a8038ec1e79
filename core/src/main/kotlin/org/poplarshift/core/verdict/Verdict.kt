package org.poplarshift.core.verdict

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * States whether a request may have taken effect at an upstream.
 *
 * Every refusal, error and retry decision contains one of these values. Callers read it as the `ran` field of an error
 * body. [NOT_RUN] must therefore only be used if no byte of the request can have reached an upstream, or if the
 * upstream reported that it did not run the request.
 */
@Serializable
enum class RunStatus {
    /** No upstream has started to run the request. */
    @SerialName("not_run")
    NOT_RUN,

    /** The request was sent, and its outcome is unknown. */
    @SerialName("may_have_run")
    MAY_HAVE_RUN,

    /** An upstream ran the request. */
    @SerialName("ran")
    RAN,
}

/**
 * The outcome of one attempt to run a request at an upstream worker.
 */
sealed interface Verdict {
    /** Whether the request may have taken effect. */
    val ran: RunStatus

    /** The worker did not start the request, which may therefore be sent to another worker. */
    data class NotRun(val reason: RefusalReason) : Verdict {
        override val ran = RunStatus.NOT_RUN
    }

    /** The request was sent, but no complete response was received. */
    data class MayHaveRun(val reason: RefusalReason) : Verdict {
        override val ran = RunStatus.MAY_HAVE_RUN
    }

    /** The worker responded with the HTTP status [status]. */
    data class Answered(val status: Int) : Verdict {
        override val ran = RunStatus.RAN
    }
}
