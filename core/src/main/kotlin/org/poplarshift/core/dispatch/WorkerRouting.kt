package org.poplarshift.core.dispatch

/** How the worker for a request is chosen among those with a free slot. */
enum class WorkerRouting {
    /** The worker where the request ends earliest, with what it delays other requests. */
    COST,

    /** The worker with the fewest requests in proportion to its slots. */
    LOAD,
}
