package org.poplarshift.serving.scheduling

import org.poplarshift.core.dispatch.WorkerIncarnation

/** What workers have stated in their responses, as far as this node knows it. */
interface WorkerStatements {
    /** Rate limits in requests per second by the ids of the workers. */
    val rateLimits: Map<String, Double>

    /** The registered workers of [service] that leave. */
    fun leaving(service: String): List<WorkerIncarnation>

    /** Records that [workers] leave, as a scheduler says. */
    fun onLeaving(workers: List<WorkerIncarnation>)

    /** States nothing and ignores what schedulers say. */
    object None : WorkerStatements {
        override val rateLimits = emptyMap<String, Double>()

        override fun leaving(service: String) = emptyList<WorkerIncarnation>()

        override fun onLeaving(workers: List<WorkerIncarnation>) = Unit
    }
}
