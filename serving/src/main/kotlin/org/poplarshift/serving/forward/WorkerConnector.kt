package org.poplarshift.serving.forward

import io.github.oshai.kotlinlogging.KotlinLogging
import io.vertx.core.Vertx
import io.vertx.core.internal.net.NetSocketInternal
import io.vertx.core.net.NetClientOptions
import io.vertx.core.net.SocketAddress
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
import org.poplarshift.core.dispatch.FleetWorker
import org.poplarshift.serving.http.SocketAddresses

/**
 * An open connection to a worker.
 *
 * @property relay name of the node through which it goes, or null if it is direct
 */
class WorkerSocket(val socket: NetSocketInternal, val relay: String? = null) {
    /** Whether the connection has ended because the relaying node was lost, so that the worker may be sound. */
    var isRelayLost = false

    /** Whether the relaying node shuts down, so that the connection is not used for another request. */
    var isRelayLeaving = false
        private set

    /** Called when the relaying node shuts down. */
    var relayLeavingHandler: () -> Unit = {}

    /** Records that the relaying node shuts down. */
    fun onRelayLeaving() {
        isRelayLeaving = true
        relayLeavingHandler()
    }
}

/** Opens connections to workers. */
interface WorkerConnector {
    /** Whether this node is cut off from all workers, so that a failure says nothing about a worker. */
    val isCutOff: Boolean
        get() = false

    /**
     * Opens a connection to [worker], or returns null if that fails.
     *
     * @param accept called in the event that reports the connection, because bytes may follow in the next one
     */
    suspend fun <T : Any> connect(worker: FleetWorker, accept: (WorkerSocket) -> T): T?
}

/** Opens connections from this node to workers. */
class DirectWorkerConnector(vertx: Vertx, localHost: String) : WorkerConnector {
    private val client = vertx.createNetClient(
        NetClientOptions().setLocalAddress(
            localHost,
        ).setTcpNoDelay(true).setConnectTimeout(CONNECT_TIMEOUT_MILLIS.toInt()),
    )

    override suspend fun <T : Any> connect(worker: FleetWorker, accept: (WorkerSocket) -> T): T? {
        val address = socketAddress(worker) ?: return null
        val pending = client.connect(address)
        val accepted = pending.map { accept(WorkerSocket(it as NetSocketInternal)) }
        val connection = try {
            withTimeoutOrNull(CONNECT_TIMEOUT_MILLIS) { accepted.coAwait() }
        } catch (exception: CancellationException) {
            pending.onSuccess { it.close() }
            throw exception
        } catch (exception: Exception) {
            logger.debug { "forward: connecting to ${worker.id} at ${worker.address} failed: ${exception.message}" }
            return null
        }
        if (connection == null) pending.onSuccess { it.close() }
        return connection
    }

    private fun socketAddress(worker: FleetWorker): SocketAddress? = try {
        SocketAddresses.parse(worker.address)
    } catch (exception: IllegalArgumentException) {
        logger.warn { "forward: ${worker.id} has the invalid address ${worker.address}: ${exception.message}" }
        null
    }

    companion object {
        private val logger = KotlinLogging.logger {}

        /**
         * More than a hundred times the network delay between zones. Waiting longer does not help after a lost SYN packet,
         * because it is retransmitted only after a second.
         */
        const val CONNECT_TIMEOUT_MILLIS = 400L
    }
}
