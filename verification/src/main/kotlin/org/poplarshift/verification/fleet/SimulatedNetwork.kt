package org.poplarshift.verification.fleet

import kotlin.random.Random

/** Delivers messages with delay, duplication and loss. An endpoint is the index of a VM, or [PLATFORM]. */
class SimulatedNetwork(private val time: VirtualTime, private val random: Random, private val oneWayDelayMicros: Long) {
    /** Share of messages that are lost. */
    var lossRate = 0.0

    /** Share of messages that are delivered twice. */
    var duplicateRate = 0.0

    /** Share of deliveries with a random delay of up to 6 s. */
    var lateRate = 0.0

    /** Returns whether two endpoints cannot reach each other. */
    var isPartitioned: (from: Int, to: Int) -> Boolean = { _, _ -> false }

    /** Numbers of messages and bytes sent between VMs, counted for messages with a size. */
    var messages = 0L
        private set
    var bytes = 0L
        private set

    /** Sends a message of [size] bytes between two endpoints. [onDelivery] runs for each delivery. */
    fun send(from: Int, to: Int, size: Int = 0, onDelivery: () -> Unit) {
        if (size > 0) {
            messages++
            bytes += size
        }
        if (isPartitioned(from, to) || random.nextDouble() < lossRate) return
        deliver(from, to, onDelivery)
        if (random.nextDouble() < duplicateRate) deliver(from, to, onDelivery)
    }

    private fun deliver(from: Int, to: Int, onDelivery: () -> Unit) {
        val normalDelay = oneWayDelayMicros / 2 + random.nextLong(oneWayDelayMicros + 1)
        val delay = if (random.nextDouble() < lateRate) random.nextLong(MAXIMUM_DELAY_MICROS) else normalDelay
        time.after(delay) { if (!isPartitioned(from, to)) onDelivery() }
    }

    companion object {
        const val PLATFORM = -1
        private const val MAXIMUM_DELAY_MICROS = 6_000_000L
    }
}
