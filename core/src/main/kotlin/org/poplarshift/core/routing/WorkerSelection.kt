package org.poplarshift.core.routing

/** The result of selecting a worker for a request. */
sealed interface WorkerSelection {
    /** The request goes to [worker]. */
    data class Chosen(val worker: String) : WorkerSelection

    /** Usable workers exist, but none has room. */
    data object AllFull : WorkerSelection

    /** No worker is usable. */
    data object NoWorker : WorkerSelection
}
