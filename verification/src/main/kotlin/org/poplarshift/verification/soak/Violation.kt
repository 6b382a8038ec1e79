package org.poplarshift.verification.soak

/** A broken promise: the [promise] and what was seen. */
data class Violation(val promise: Promise, val detail: String)

/** What callers and workers may rely on. */
enum class Promise {
    /** A response is one of a run of this request. */
    OWN_RESPONSE,

    /** A success is one of the worker's, not one where the worker answered a failure. */
    TRUE_SUCCESS,

    /** A failure with a receipt has the status of its run. */
    OWN_STATUS,

    /** A body that ends as complete is the worker's whole body, no shorter and no longer. */
    WHOLE_BODY,

    /** A success has the receipt of its run. */
    RECEIPT,

    /** A request that isn't idempotent runs at most once. */
    RUNS_ONCE,

    /** A refusal that says "not run" is true. */
    TRUE_REFUSAL,

    /** Workers run only what callers have sent, for the right organisation and unchanged. */
    AS_SENT,

    /** Proper requests aren't rejected as improper. */
    NOT_DENIED,

    /** A stream has all events once and in order. */
    STREAM_ORDER,

    /** A stream, over all calls of its caller, and a result hold events of one software version. */
    ONE_VERSION,

    /** Streams that callers take up go on while workers of their software version serve. */
    RESUMED_STREAM,

    /** No organisation gets more than its rate and burst. */
    RATE_LIMIT,

    /** A withdrawn key stops working. */
    WITHDRAWN_KEY,

    /** A leaving worker gets no new requests. */
    DRAINED_WORKER,

    /** A process ends only when it is killed or asked to end. */
    KEEPS_RUNNING,

    /** A planned stop cuts off no request and ends in time. */
    PLANNED_STOP,

    /** An accepted submission stays readable, with complete results at fixed positions. */
    ACCEPTED_SUBMISSION,

    /** An ended submission runs nothing more. */
    ENDED_SUBMISSION,
}
