package org.poplarshift.node.dispatch

import org.poplarshift.core.catalogue.Catalogue
import org.poplarshift.core.catalogue.Upstream
import org.poplarshift.serving.MonotonicClock

/** The pools of all upstreams. Worker identifiers are unique over all upstreams. */
class WorkerPools(
    private val localZone: String,
    private val settings: DispatchSettings,
    private val clock: MonotonicClock,
    private val isHeld: (String) -> Boolean,
    private val grant: (WorkerPool, TrackedWorker, String) -> WorkerGrant,
) {
    private val pools = LinkedHashMap<String, WorkerPool>()

    /** All pools. */
    val all: Collection<WorkerPool>
        get() = pools.values

    /** All workers. */
    val workers: List<TrackedWorker>
        get() = pools.values.flatMap { it.workers.values }

    /** The pool of [upstream]. */
    fun of(upstream: Upstream): WorkerPool =
        pools.getOrPut(upstream.id) { WorkerPool(upstream, localZone, settings, clock, isHeld, grant) }

    /** The worker [id], or null. */
    fun worker(id: String): TrackedWorker? = pools.values.firstNotNullOfOrNull { it.workers[id] }

    /** Takes over a catalogue. */
    fun update(catalogue: Catalogue) {
        pools.keys.retainAll(catalogue.upstreams.map { it.id }.toSet())
        catalogue.upstreams.forEach { of(it).update(it) }
        dispatch()
    }

    /** Gives free workers to waiting requests of all upstreams. */
    fun dispatch() = pools.values.forEach { it.dispatch() }
}
