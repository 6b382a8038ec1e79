package org.poplarshift.serving.forward

import org.poplarshift.core.dispatch.FleetWorker
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.serving.observe.UnusableResponseRecorder

/**
 * A pool of connections to workers, each used for one request at a time.
 *
 * A connection is reused only after a complete response to the right request, and only within the worker's keep-alive
 * time. A request that may not be repeated gets a new connection while the worker is known to send second responses.
 */
class WorkerConnectionPool(
    private val connector: WorkerConnector,
    private val clock: MonotonicClock,
    private val recorder: UnusableResponseRecorder,
    private val observer: WorkerConnectionObserver = WorkerConnectionObserver.None,
) {
    private val misattributions = MisattributionTracker(clock)
    private val idle = HashMap<String, ArrayDeque<WorkerConnection>>()

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

    /** Whether this node is cut off from all workers. */
    val isCutOff: Boolean
        get() = connector.isCutOff

    /** Records that the response on [connection] takes unusually long to begin. */
    fun onSlow(connection: WorkerConnection) = observer.onSlow(connection)

    /** Records that nothing was received on [connection] in time, so that its request was given up. */
    fun onSilent(connection: WorkerConnection) = observer.onSilent(connection)

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
        val isDetour = connection.isRelayLeaving || (connection.relay != null && !connector.isCutOff)
        if (connection.isClosed || reusableMillis <= 0 || isDetour) {
            connection.close()
            return
        }
        connection.reusableUntilMillis = clock.millis() + reusableMillis
        connection.isIdle = true
        idle.getOrPut(connection.worker) { ArrayDeque() }.addLast(connection)
    }

    /** Closes the idle connections to [worker], which may be dead without having been closed. */
    fun closeIdle(worker: String) {
        idle.remove(worker)?.forEach { it.close() }
    }

    /** Closes the idle connections for which [isUnusable] returns true. */
    fun closeIdle(isUnusable: (WorkerConnection) -> Boolean) {
        for (queue in idle.values) {
            val (closed, kept) = queue.partition(isUnusable)
            queue.clear()
            queue += kept
            closed.forEach { it.close() }
        }
    }

    /** Closes idle connections that can't be reused any more, and those to workers that are not in [workers]. */
    fun evictUnusable(workers: Set<String>) {
        val now = clock.millis()
        misattributions.expire(workers)
        idle.keys.filter { it !in workers }.forEach { closeIdle(it) }
        for (queue in idle.values) {
            while (queue.isNotEmpty() && (queue.first().reusableUntilMillis <= now || queue.first().isClosed)) {
                queue.removeFirst().close()
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
            connection.close()
        }
        return null
    }

    private fun WorkerConnection.isUsableFor(worker: FleetWorker, requestId: String, nowMillis: Long): Boolean =
        !isClosed &&
            reusableUntilMillis > nowMillis &&
            address == worker.address &&
            canIdentify(requestId)

    private suspend fun connect(worker: FleetWorker): WorkerConnection? =
        connector.connect(worker) { newConnection(worker, it) }?.takeUnless { it.isClosed }

    private fun newConnection(worker: FleetWorker, source: WorkerSocket): WorkerConnection {
        connectionsOpened++
        return WorkerConnection(worker.id, worker.address, connectionsOpened, source, ::onForeignBytes)
    }

    private fun onForeignBytes(connection: WorkerConnection, found: String) {
        misattributions.onForeignBytes(connection.worker)
        recorder.onForeignBytes(connection, found)
    }

    private companion object {
        // More than ten times the network delay between zones. A worker that keeps its side open costs this time.
        const val CLOSE_TIMEOUT_MILLIS = 50L

        // Applies when the worker does not state its keep-alive time.
        const val DEFAULT_KEEP_ALIVE_MILLIS = 4_000L

        // A request that is in transit when the worker closes the idle connection may be lost.
        const val CLOSE_MARGIN_MILLIS = 400L
        const val CLOSE_MARGIN_DIVISOR = 5
    }
}
