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
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.serving.http.SocketAddresses
import org.poplarshift.serving.observe.UnusableResponseRecorder

/**
 * A pool of connections to workers, each used for one request at a time.
 *
 * A connection is reused only after a complete response to the right request, and only within the worker's keep-alive
 * time. A request that may not be repeated gets a new connection while the worker is known to send second responses.
 */
class WorkerConnectionPool(
    vertx: Vertx,
    localHost: String,
    private val clock: MonotonicClock,
    private val recorder: UnusableResponseRecorder,
) {
    /** The workers that may have ended, as seen by their connections. */
    val doubts = WorkerDoubts(clock)

    private val misattributions = MisattributionTracker(clock)
    private val idle = HashMap<String, ArrayDeque<WorkerConnection>>()
    private val client = vertx.createNetClient(
        NetClientOptions().setLocalAddress(
            localHost,
        ).setTcpNoDelay(true).setConnectTimeout(CONNECT_TIMEOUT_MILLIS.toInt()),
    )

    /** Number of connections opened since the node started. */
    var connectionsOpened = 0L
        private set

    /**
     * Returns an idle or a new connection to [worker], or null when connecting fails.
     *
     * A connection is not used for the same request twice, because a late copy of the first response has the id that
     * identifies the second one.
     *
     * @param requestId id of the request to send
     * @param mayRepeat whether the request goes on elsewhere when its response can't be used
     */
    suspend fun acquire(worker: FleetWorker, requestId: String, mayRepeat: Boolean): WorkerConnection? {
        val reused = takeIdle(worker, requestId) ?: return connect(worker)
        val mayLoseResponse = !mayRepeat && !reused.isUnused
        if (!mayLoseResponse || !misattributions.isSuspect(worker.id)) return reused
        // The new connection takes the place of the old one, because workers limit the number of their connections.
        reused.closeOnBothSides(CLOSE_TIMEOUT_MILLIS)
        return connect(worker)
    }

    /** Records that the worker [id] has sent something that is not the response to the waiting request. */
    fun onUnusableResponse(id: String) = misattributions.onForeignBytes(id)

    /** Opens a connection to [worker] for a later request. Returns whether that succeeds. */
    suspend fun open(worker: FleetWorker): Boolean {
        val connection = connect(worker) ?: return false
        release(connection, keepAliveMillis = null)
        return true
    }

    /**
     * Returns [connection] to the pool, or closes it when it can't be reused safely.
     *
     * @param keepAliveMillis keep-alive time stated by the worker in milliseconds, or null
     */
    fun release(connection: WorkerConnection, keepAliveMillis: Long?) {
        val reusableMillis =
            (keepAliveMillis ?: DEFAULT_KEEP_ALIVE_MILLIS) -
                maxOf(CLOSE_MARGIN_MILLIS, (keepAliveMillis ?: 0) / CLOSE_MARGIN_DIVISOR)
        if (connection.isClosed || reusableMillis <= 0) {
            connection.close()
            return
        }
        connection.reusableUntilMillis = clock.millis() + reusableMillis
        connection.isIdle = true
        idle.getOrPut(connection.worker) { ArrayDeque() }.addLast(connection)
    }

    /** Closes the idle connections to [worker], which may be dead without having been closed. */
    fun closeIdle(worker: String) {
        doubts.add(worker)
        idle.remove(worker)?.forEach { it.close() }
    }

    /** Closes idle connections that can't be reused any more, and those to workers that are not in [workers]. */
    fun evictUnusable(workers: Set<String>) {
        val now = clock.millis()
        misattributions.expire(workers)
        doubts.retain(workers)
        idle.keys.filter { it !in workers }.forEach { closeIdle(it) }
        for (queue in idle.values) {
            while (queue.isNotEmpty() && (queue.first().reusableUntilMillis <= now || queue.first().isClosed)) {
                discard(queue.removeFirst())
            }
        }
    }

    private fun takeIdle(worker: FleetWorker, requestId: String): WorkerConnection? {
        val queue = idle[worker.id] ?: return null
        val now = clock.millis()
        while (queue.isNotEmpty()) {
            val connection = queue.removeLast()
            if (connection.isUsableFor(worker, requestId, now)) {
                connection.isIdle = false
                return connection
            }
            discard(connection)
        }
        return null
    }

    private fun discard(connection: WorkerConnection) {
        if (connection.isClosed) doubts.add(connection.worker)
        connection.close()
    }

    private fun WorkerConnection.isUsableFor(worker: FleetWorker, requestId: String, nowMillis: Long): Boolean =
        !isClosed &&
            reusableUntilMillis > nowMillis &&
            address == worker.address &&
            canIdentify(requestId)

    private suspend fun connect(worker: FleetWorker): WorkerConnection? {
        val address = socketAddress(worker) ?: return null
        // The connection must handle what it receives from the event on that reports that it is open.
        val pending = client.connect(address).map { newConnection(worker, it as NetSocketInternal) }
        val connection = try {
            withTimeoutOrNull(CONNECT_TIMEOUT_MILLIS) { pending.coAwait() }
        } catch (exception: CancellationException) {
            pending.onSuccess { it.close() }
            throw exception
        } catch (exception: Exception) {
            logger.debug { "forward: connecting to ${worker.id} at ${worker.address} failed: ${exception.message}" }
            return null
        }
        if (connection == null) {
            pending.onSuccess { it.close() }
            return null
        }
        return connection.takeUnless { it.isClosed }
    }

    private fun newConnection(worker: FleetWorker, socket: NetSocketInternal): WorkerConnection {
        connectionsOpened++
        return WorkerConnection(worker.id, worker.address, connectionsOpened, socket, ::onForeignBytes)
    }

    private fun onForeignBytes(connection: WorkerConnection, found: String) {
        misattributions.onForeignBytes(connection.worker)
        recorder.onForeignBytes(connection, found)
    }

    private fun socketAddress(worker: FleetWorker): SocketAddress? = try {
        SocketAddresses.parse(worker.address)
    } catch (exception: IllegalArgumentException) {
        logger.warn { "forward: ${worker.id} has the invalid address ${worker.address}: ${exception.message}" }
        null
    }

    private companion object {
        val logger = KotlinLogging.logger {}

        // More than a hundred times the network delay between zones. Waiting longer does not help after a lost SYN
        // packet, because it is retransmitted only after a second.
        const val CONNECT_TIMEOUT_MILLIS = 400L

        // More than ten times the network delay between zones. A worker that keeps its side open costs this time.
        const val CLOSE_TIMEOUT_MILLIS = 50L

        // Applies when the worker does not state its keep-alive time.
        const val DEFAULT_KEEP_ALIVE_MILLIS = 4_000L

        // A request that is in transit when the worker closes the idle connection may be lost.
        const val CLOSE_MARGIN_MILLIS = 400L
        const val CLOSE_MARGIN_DIVISOR = 5
    }
}
