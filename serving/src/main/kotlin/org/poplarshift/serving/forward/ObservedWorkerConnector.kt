package org.poplarshift.serving.forward

import org.poplarshift.core.dispatch.FleetWorker
import org.poplarshift.serving.peer.DirectPath

/**
 * Opens direct connections to workers and records what they say about the path to the workers.
 *
 * @param onFailure called when a worker can't be reached
 */
class ObservedWorkerConnector(
    private val direct: WorkerConnector,
    private val path: DirectPath,
    private val onFailure: () -> Unit,
) : WorkerConnector {
    override suspend fun <T : Any> connect(worker: FleetWorker, accept: (WorkerSocket) -> T): T? {
        val connection = direct.connect(worker, accept)
        if (connection == null) onFailure() else path.onSuccess()
        return connection
    }
}
