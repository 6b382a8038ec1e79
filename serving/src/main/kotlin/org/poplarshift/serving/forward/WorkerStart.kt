package org.poplarshift.serving.forward

/** What is known about the process of a worker that a connection leads to. */
sealed interface WorkerStart {
    /** The process that the worker's registry entry describes, or one that has ended. */
    data object Registered : WorkerStart

    /** Another process under the same id, which may run another software version. */
    data object Other : WorkerStart

    /** The worker answers without stating its start, so that nothing tells the process. */
    data object NotStated : WorkerStart

    /** The worker has not answered, and the connection can't be used any more. */
    data object NoAnswer : WorkerStart
}
