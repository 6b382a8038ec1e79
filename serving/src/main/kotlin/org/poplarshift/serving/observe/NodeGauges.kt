package org.poplarshift.serving.observe

import io.micrometer.core.instrument.FunctionCounter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry
import org.poplarshift.serving.fleet.ConfigurationHolder
import org.poplarshift.serving.fleet.FleetMembers
import org.poplarshift.serving.fleet.WorkerRegistry
import org.poplarshift.serving.forward.ForwardingContext
import org.poplarshift.serving.forward.WorkerLinks
import org.poplarshift.serving.scheduling.SchedulerHost
import org.poplarshift.serving.stream.ReplicatedStreamOrigins
import org.poplarshift.serving.submission.BatchRunner

/** Gauges for the state and the activity of a node. */
object NodeGauges {
    /** Registers the gauges with [registry]. */
    fun register(
        registry: MeterRegistry,
        configuration: ConfigurationHolder,
        members: FleetMembers,
        workers: WorkerRegistry,
        batchRunner: BatchRunner,
        forwarding: ForwardingContext,
    ) {
        gauge(registry, "configuration_version") { configuration.current?.version ?: 0L }
        gauge(registry, "fleet_nodes") { members.size }
        gauge(registry, "workers_known") { workers.known.size }
        gauge(registry, "batch_items_running") { batchRunner.runningItems }
        gauge(registry, "batch_shares") { batchRunner.shares.size }
        gauge(registry, "worker_connections_made") { forwarding.connections.connectionsOpened }
        gauge(registry, "requests_waiting") { forwarding.dispatcher.waiting }
        gauge(registry, "prompt_parts_quarantined") { forwarding.crashTracker.blamedPartCount }
    }

    /** Registers the figures about the requests that wait at the schedulers that [host] runs. */
    fun registerScheduling(registry: MeterRegistry, host: SchedulerHost) {
        gauge(registry, "slot_flows_waiting") { host.statistics.flows }
        gauge(registry, "slot_longest_wait_seconds") { host.statistics.longestWaitMillis / MILLIS_PER_SECOND }
        FunctionCounter.builder("slot_refusals", host) { it.statistics.refusals.toDouble() }
            .tag("reason", "deadline")
            .register(registry)
    }

    /** Registers the number of streams whose origin this node remembers. */
    fun registerStreams(registry: MeterRegistry, origins: ReplicatedStreamOrigins) =
        gauge(registry, "stream_origins_held") { origins.size }

    /** Registers whether this node reaches workers, and the connections to workers that it relays for other nodes. */
    fun registerRelays(registry: MeterRegistry, links: WorkerLinks) {
        gauge(registry, "workers_reached_directly") { if (links.path.isUsable) 1 else 0 }
        gauge(registry, "worker_connections_relayed") { links.relayServer.size }
    }

    private fun gauge(registry: MeterRegistry, name: String, value: () -> Number) {
        Gauge.builder(name, value).register(registry)
    }

    private const val MILLIS_PER_SECOND = 1_000.0
}
