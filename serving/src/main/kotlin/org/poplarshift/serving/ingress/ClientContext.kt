package org.poplarshift.serving.ingress

import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.serving.memory.MemoryAccount

/** What the ports of a node share to bound the bytes and connections of their clients. */
class ClientContext(val clock: MonotonicClock, metrics: MeterRegistry) {
    val account = MemoryAccount(MemoryAccount.limitOfHeap(), clock::millis) { use ->
        metrics.counter("memory_given_up", "use", use.name.lowercase()).increment()
    }
    val recorder = ClientFaultRecorder(metrics, clock)

    init {
        Gauge.builder("memory_held_bytes") { account.usedBytes }.register(metrics)
    }
}
