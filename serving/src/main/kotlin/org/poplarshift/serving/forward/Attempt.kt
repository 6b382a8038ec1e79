package org.poplarshift.serving.forward

import org.poplarshift.core.dispatch.WorkerState
import org.poplarshift.core.stream.StreamOrigin

/** An exchange with the worker of [slot] whose response head has been received. [run] records what is observed of it. */
class Attempt(
    slot: AssignedSlot,
    val exchange: WorkerExchange,
    val run: RunRecorder,
    private val connection: WorkerConnection,
    private val connections: WorkerConnectionPool,
    private val onClose: () -> Unit,
) {
    /** The worker that the request was sent to. */
    val target: WorkerState = slot.target

    /** The service and the version of the worker's software when the request was sent. */
    val origin = StreamOrigin(slot.service, slot.softwareVersion)

    private var isClosed = false

    /** Closes an attempt whose response has been received. */
    fun complete() {
        run.onCompleted()
        close()
    }

    /** Releases the worker and returns the connection to the pool if it is reusable, otherwise closes it. */
    fun close() {
        if (isClosed) return
        isClosed = true
        exchange.close()
        if (exchange.isReusable) connections.release(connection, exchange.keepAliveMillis) else connection.close()
        onClose()
    }
}
