package org.poplarshift.serving.forward

import org.poplarshift.core.dispatch.FleetWorker
import org.poplarshift.serving.peer.DirectPath

/**
 * Opens connections to workers through other nodes while this node does not reach any worker itself.
 *
 * A connection carries requests as a direct one does, so that this node alone decides what is sent, repeated and
 * cancelled. A request is sent only after a worker has accepted the connection, so that nothing runs twice when a
 * connection fails.
 */
class RelayedWorkerConnector(
    private val direct: WorkerConnector,
    private val relay: WorkerConnector,
    private val path: DirectPath,
) : WorkerConnector {
    override val isCutOff: Boolean
        get() = !path.isUsable

    override suspend fun <T : Any> connect(worker: FleetWorker, accept: (WorkerSocket) -> T): T? {
        if (path.isUsable) direct.connect(worker, accept)?.let { return it }
        return if (path.isUsable) null else relay.connect(worker, accept)
    }
}
