package org.poplarshift.verification.soak

import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.net.NetSocket

/**
 * One direction of a connection, which delivers bytes to [receiver] late but in order.
 *
 * @param delayMillis returns the delay for bytes that are added now
 * @param isCut returns whether nothing is delivered now
 */
internal class LinkDirection(
    private val vertx: Vertx,
    private val receiver: NetSocket,
    private val delayMillis: () -> Long,
    private val isCut: () -> Boolean,
) {
    private val queue = ArrayDeque<Segment>()

    /** Adds [bytes] to be delivered. */
    fun add(bytes: Buffer) = add(Segment(dueMillis(), bytes))

    /** Closes the receiver after all bytes have been delivered. */
    fun addEnd() = add(Segment(dueMillis(), bytes = null))

    /** Delivers what is due. */
    fun flush() {
        while (!isCut()) {
            val next = queue.firstOrNull() ?: return
            val remainingMillis = next.dueMillis - SoakFleet.now()
            if (remainingMillis > 0) {
                vertx.setTimer(remainingMillis) { flush() }
                return
            }
            queue.removeFirst()
            if (next.bytes == null) receiver.close() else receiver.write(next.bytes)
        }
    }

    private fun add(segment: Segment) {
        queue += segment
        flush()
    }

    private fun dueMillis() = maxOf(SoakFleet.now() + delayMillis(), queue.lastOrNull()?.dueMillis ?: 0)

    // The end of the connection has no bytes.
    private class Segment(val dueMillis: Long, val bytes: Buffer?)
}
