package org.poplarshift.core.routing

/** The outcome of a search for a worker. */
sealed interface WorkerSelection {
    /** The request goes to [worker]. */
    data class Chosen(val worker: String) : WorkerSelection

    /** Usable workers exist, and none has room. */
    data object AllFull : WorkerSelection

    /** No worker is usable. */
    data object NoWorker : WorkerSelection
}
