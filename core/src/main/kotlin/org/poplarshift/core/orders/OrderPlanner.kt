package org.poplarshift.core.orders

import kotlin.math.ceil

/**
 * Plans which artifacts the workers of an upstream hold. An artifact is loaded when demand was sustained for the length
 * of a cold start. It is unloaded only if its peak online demand in the window still fits on the remaining workers.
 * At least one worker always keeps each artifact of the catalogue.
 */
class OrderPlanner(private val settings: OrderSettings) {
    private val windows = mutableMapOf<Artifact, DemandWindow>()

    /** Adds a measurement of the demand for [artifact], in concurrent requests. */
    fun onDemand(artifact: Artifact, online: Double, batch: Double, nowMillis: Long) {
        windows.getOrPut(artifact) { DemandWindow(settings.coldStartMillis) }.add(online, batch, nowMillis)
    }

    /**
     * Returns the next change, or null. It changes one worker at a time, so that a plan from wrong measurements removes
     * at most one worker from online requests.
     */
    fun next(workers: List<OrderedWorker>, artifacts: List<Artifact>, nowMillis: Long): OrderedWorker? {
        if (workers.isEmpty()) return null
        val capacity = workers.sumOf { it.capacity }.toDouble() / workers.size
        val underprovisioned = artifacts
            .map { it to requiredReplicas(it, capacity, nowMillis) - replicas(workers, it) }
            .filter { it.second > 0 }
            .maxByOrNull { it.second }
            ?.first
            ?: return null
        val target = workers
            .filter { underprovisioned !in it.desired.artifacts }
            .sortedBy { it.desired.artifacts.size }
            .firstNotNullOfOrNull { worker -> withArtifact(worker, underprovisioned, workers, capacity) }
        return target
    }

    private fun withArtifact(
        worker: OrderedWorker,
        artifact: Artifact,
        workers: List<OrderedWorker>,
        capacity: Double,
    ): OrderedWorker? {
        val held = worker.desired.artifacts
        if (held.size < settings.artifactsPerWorker) return worker.withArtifacts(held + artifact)
        val surplus = held.firstOrNull { replicas(workers, it) > replicasAtPeak(it, capacity) } ?: return null
        return worker.withArtifacts(held - surplus + artifact)
    }

    private fun OrderedWorker.withArtifacts(artifacts: Set<Artifact>) =
        copy(desired = desired.copy(artifacts = artifacts))

    private fun requiredReplicas(artifact: Artifact, capacity: Double, nowMillis: Long): Int =
        replicasFor(windows[artifact]?.sustained(nowMillis) ?: 0.0, capacity)

    private fun replicasAtPeak(artifact: Artifact, capacity: Double): Int =
        replicasFor(windows[artifact]?.peakOnline() ?: 0.0, capacity)

    private fun replicasFor(demand: Double, capacity: Double): Int =
        maxOf(1, ceil(demand / (capacity * settings.targetUtilisation)).toInt())

    private fun replicas(workers: List<OrderedWorker>, artifact: Artifact): Int =
        workers.count { artifact in it.desired.artifacts }
}
