package org.poplarshift.verification.fleet

import kotlin.random.Random

/** Delivers messages late, twice or not at all. Places are VMs and the platform. */
class SimulatedNetwork(private val time: VirtualTime, private val random: Random, private val oneWayMicros: Long) {
    /** The share of messages that are lost. */
    var lossShare = 0.0

    /** The share of messages that are delivered twice. */
    var duplicateShare = 0.0

    /** The share of messages that are very late. */
    var lateShare = 0.0

    /** Pairs of places that can't reach each other. */
    var isCut: (from: Int, to: Int) -> Boolean = { _, _ -> false }

    /** Messages and bytes sent between VMs so far. */
    var messages = 0L
        private set
    var bytes = 0L
        private set

    /** Sends a message of [size] bytes from one place to another; [arrive] runs for each delivery. */
    fun send(from: Int, to: Int, size: Int = 0, arrive: () -> Unit) {
        if (size > 0) {
            messages++
            bytes += size
        }
        if (isCut(from, to) || random.nextDouble() < lossShare) return
        deliver(from, to, arrive)
        if (random.nextDouble() < duplicateShare) deliver(from, to, arrive)
    }

    private fun deliver(from: Int, to: Int, arrive: () -> Unit) {
        val usual = oneWayMicros / 2 + random.nextLong(oneWayMicros + 1)
        val delay = if (random.nextDouble() < lateShare) random.nextLong(LATEST_MICROS) else usual
        time.after(delay) { if (!isCut(from, to)) arrive() }
    }

    companion object {
        const val PLATFORM = -1
        private const val LATEST_MICROS = 6_000_000L
    }
}
