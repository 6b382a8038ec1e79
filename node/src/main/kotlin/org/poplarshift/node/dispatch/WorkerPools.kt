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

    val all: Collection<WorkerPool>
        get() = pools.values

    /** The workers of all pools. */
    val workers: List<TrackedWorker>
        get() = pools.values.flatMap { it.workers.values }

    /** Returns the pool of [upstream], which is created when it does not exist. */
    fun of(upstream: Upstream): WorkerPool =
        pools.getOrPut(upstream.id) { WorkerPool(upstream, localZone, settings, clock, isHeld, grant) }

    /** Returns the worker with the identifier [id], or null when no pool has it. */
    fun worker(id: String): TrackedWorker? = pools.values.firstNotNullOfOrNull { it.workers[id] }

    /** Updates the pools to the upstreams of [catalogue]. */
    fun update(catalogue: Catalogue) {
        pools.keys.retainAll(catalogue.upstreams.map { it.id }.toSet())
        catalogue.upstreams.forEach { of(it).update(it) }
        dispatch()
    }

    /** Assigns queued requests of all upstreams to workers with free capacity. */
    fun dispatch() = pools.values.forEach { it.dispatch() }
}
