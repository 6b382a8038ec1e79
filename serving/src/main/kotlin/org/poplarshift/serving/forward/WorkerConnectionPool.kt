package org.poplarshift.serving.forward

import io.github.oshai.kotlinlogging.KotlinLogging
import io.vertx.core.Vertx
import io.vertx.core.http.HttpClientConnection
import io.vertx.core.http.HttpClientOptions
import io.vertx.core.http.HttpConnectOptions
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
import org.poplarshift.core.dispatch.FleetWorker
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.serving.http.SocketAddresses

/**
 * Open connections to workers, each used for one request at a time.
 *
 * A connection is kept only after a complete answer to the right request, and no longer than the worker keeps it.
 */
class WorkerConnectionPool(vertx: Vertx, localHost: String, private val clock: MonotonicClock) {
    private val idle = HashMap<String, ArrayDeque<WorkerConnection>>()
    private val client = vertx.createHttpClient(
        HttpClientOptions()
            .setLocalAddress(localHost)
            .setMaxHeaderSize(MAXIMUM_HEADER_BYTES)
            .setTcpNoDelay(true)
            .setKeepAliveTimeout(0)
            .setDecompressionSupported(false),
    )

    /** Connections made since the start. */
    var connectionsOpened = 0L
        private set

    /** A connection to [worker], or null when none can be made. */
    suspend fun acquire(worker: FleetWorker): WorkerConnection? = takeIdle(worker) ?: connect(worker)

    /** Keeps [connection] for another request to its worker. */
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

    /** Closes the kept connections to [worker], which may be dead without a sign. */
    fun closeIdle(worker: String) {
        idle.remove(worker)?.forEach { it.close() }
    }

    /** Closes connections that are no longer usable, and those to workers other than [workers]. */
    fun evictUnusable(workers: Set<String>) {
        val now = clock.millis()
        idle.keys.filter { it !in workers }.forEach { closeIdle(it) }
        for (queue in idle.values) {
            while (queue.isNotEmpty() && (queue.first().reusableUntilMillis <= now || queue.first().isClosed)) {
                queue.removeFirst().close()
            }
        }
    }

    private fun takeIdle(worker: FleetWorker): WorkerConnection? {
        val queue = idle[worker.id] ?: return null
        val now = clock.millis()
        while (queue.isNotEmpty()) {
            val connection = queue.removeLast()
            if (!connection.isClosed && connection.reusableUntilMillis > now && connection.address == worker.address) {
                connection.isIdle = false
                return connection
            }
            connection.close()
        }
        return null
    }

    private suspend fun connect(worker: FleetWorker): WorkerConnection? {
        val socket = SocketAddresses.parse(worker.address)
        val options = HttpConnectOptions().setHost(
            socket.host(),
        ).setPort(socket.port()).setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
        val pending = client.connect(options)
        val connection = try {
            withTimeoutOrNull(CONNECT_TIMEOUT_MILLIS) { pending.coAwait() }
        } catch (exception: CancellationException) {
            pending.onSuccess { it.close() }
            throw exception
        } catch (exception: Exception) {
            logger.debug { "connect: no connection to ${worker.id} at ${worker.address}: ${exception.message}" }
            return null
        }
        if (connection == null) {
            pending.onSuccess { it.close() }
            return null
        }
        connectionsOpened++
        return WorkerConnection(worker.id, worker.address, connection)
    }

    private companion object {
        val logger = KotlinLogging.logger {}

        // Over a hundred times the delay between zones; a lost opening packet is sent again only after a second.
        const val CONNECT_TIMEOUT_MILLIS = 400L

        // How long a connection is kept when the worker does not say how long it keeps it.
        const val DEFAULT_KEEP_ALIVE_MILLIS = 4_000L

        // A request that is on its way when the worker closes the connection may be lost.
        const val CLOSE_MARGIN_MILLIS = 400L
        const val CLOSE_MARGIN_DIVISOR = 5
        const val MAXIMUM_HEADER_BYTES = 65_536
    }
}

/** One connection to the worker [worker] at [address]. */
class WorkerConnection(val worker: String, val address: String, val http: HttpClientConnection) {
    /** Whether either side has closed it. */
    var isClosed = false
        private set

    /** Whether it waits for another request. */
    var isIdle = false
        internal set

    /** Monotonic milliseconds until which it may be used again. */
    var reusableUntilMillis = 0L

    init {
        http.closeHandler { isClosed = true }
        http.exceptionHandler { isClosed = true }
    }

    /** Closes it at once. */
    fun close() {
        isClosed = true
        http.close()
    }
}
