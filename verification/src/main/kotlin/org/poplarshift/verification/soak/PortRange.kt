package org.poplarshift.verification.soak

import io.github.oshai.kotlinlogging.KotlinLogging
import java.io.IOException
import java.net.ServerSocket

/**
 * Ports for the processes of one soak.
 *
 * The first port is bound until [close], so that soaks at the same time have different ranges. Otherwise one soak would
 * take the ports of a process of another one that is down for a moment.
 */
class PortRange private constructor(private val guard: ServerSocket) : AutoCloseable {
    private var next = guard.localPort + 1

    /** Returns the first of [count] consecutive ports that no other process listens on now. */
    fun take(count: Int): Int {
        val last = guard.localPort + PORTS_PER_RANGE - count
        while (next <= last) {
            val first = next
            next += count
            if ((first until first + count).all { isFree(it) }) return first
        }
        error("no $count free ports from ${guard.localPort} to ${guard.localPort + PORTS_PER_RANGE - 1}")
    }

    override fun close() = guard.close()

    companion object {
        private val logger = KotlinLogging.logger {}

        // Below the range from which the system takes the ports of outgoing connections.
        private const val FIRST_PORT = 16_000
        private const val RANGES = 40
        private const val PORTS_PER_RANGE = 400

        /** Reserves a range that no other soak on this machine has. */
        fun reserve(): PortRange =
            (0 until RANGES).firstNotNullOfOrNull { bind(FIRST_PORT + it * PORTS_PER_RANGE) }?.let { PortRange(it) }
                ?: error("all $RANGES ranges of ports are in use")

        private fun isFree(port: Int): Boolean = bind(port)?.use { true } ?: false

        private fun bind(port: Int): ServerSocket? = try {
            ServerSocket(port)
        } catch (exception: IOException) {
            logger.debug { "port $port is in use: ${exception.message}" }
            null
        }
    }
}
