package org.poplarshift.serving.ingress

import io.github.oshai.kotlinlogging.KotlinLogging
import io.micrometer.core.instrument.MeterRegistry
import org.poplarshift.serving.MonotonicClock
import java.util.EnumMap

/** Counts the clients that are given up, by port and reason, and logs the first one of each reason and second. */
class ClientFaultRecorder(private val registry: MeterRegistry, private val clock: MonotonicClock) {
    private val loggedMillis = EnumMap<ClientFault, Long>(ClientFault::class.java)
    private val unlogged = EnumMap<ClientFault, Int>(ClientFault::class.java)

    /** Records a [fault] at [port]. */
    fun record(port: String, fault: ClientFault) {
        registry.counter("clients_given_up", "port", port, "reason", fault.text).increment()
        // Clients that close idle connections late are usual.
        if (fault == ClientFault.IDLE) return
        val nowMillis = clock.millis()
        val last = loggedMillis[fault]
        if (last != null && nowMillis - last < LOG_INTERVAL_MILLIS) {
            unlogged.merge(fault, 1, Int::plus)
            return
        }
        loggedMillis[fault] = nowMillis
        val before = unlogged.remove(fault) ?: 0
        logger.atWarn {
            message = "ingress: a client is given up"
            payload = mapOf("port" to port, "reason" to fault.text, "not_logged" to before)
        }
    }

    private companion object {
        val logger = KotlinLogging.logger {}
        const val LOG_INTERVAL_MILLIS = 1_000L
    }
}
