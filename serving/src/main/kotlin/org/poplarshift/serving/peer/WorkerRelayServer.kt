package org.poplarshift.serving.peer

import io.github.oshai.kotlinlogging.KotlinLogging
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServerRequest
import io.vertx.core.net.NetSocket
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.delay
import org.poplarshift.core.dispatch.FleetWorker
import org.poplarshift.core.dispatch.LoadBalancer
import org.poplarshift.core.dispatch.WorkerState
import org.poplarshift.serving.BackgroundTasks
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.serving.forward.WorkerConnector

/**
 * Connects other nodes, which do not reach any worker themselves, to the workers that this node reaches.
 *
 * The other node asks for a worker on a connection of its own, which carries the bytes of the worker's connection from then
 * on. This node adds no load to workers that it could not use itself.
 *
 * @param direct opens connections from this node to workers
 */
class WorkerRelayServer(
    private val tasks: BackgroundTasks,
    private val clock: MonotonicClock,
    private val workers: LoadBalancer,
    private val direct: WorkerConnector,
    private val path: DirectPath,
) {
    private inner class Tunnel(private val caller: NetSocket, private val worker: NetSocket) {
        private var isEnded = false

        fun start() {
            tunnels += this
            var isReset = false
            worker.exceptionHandler { isReset = true }
            caller.exceptionHandler { logger.debug { "relay: connection of a node failed: ${it.message}" } }
            // Not the close handler, which may be called before all bytes have been delivered.
            worker.endHandler { end(if (isReset) TunnelFrames.reset else TunnelFrames.end) }
            caller.closeHandler { end(frame = null) }
            connect(worker, caller, TunnelFrames::of)
            connect(caller, worker) { it }
            worker.resume()
            caller.resume()
            if (isStopping) onStopping()
        }

        /** Asks the other node to end the connection after the current request. */
        fun onStopping() {
            caller.write(TunnelFrames.leaving)
        }

        /** Ends both connections, after [frame] has been sent to the other node. */
        fun end(frame: Buffer?) {
            if (isEnded) return
            isEnded = true
            tunnels -= this
            worker.close()
            if (frame == null) caller.close() else caller.end(frame)
        }

        private fun connect(from: NetSocket, to: NetSocket, encode: (Buffer) -> Buffer) {
            from.handler { bytes ->
                if (isEnded) return@handler
                to.write(encode(bytes))
                if (!to.writeQueueFull()) return@handler
                from.pause()
                to.drainHandler { from.resume() }
            }
        }
    }

    private val tunnels = LinkedHashSet<Tunnel>()
    private var isStopping = false

    /** Number of connections that are relayed. */
    val size: Int
        get() = tunnels.size

    /** Serves other nodes at [server]. */
    fun serve(server: PeerServer) = server.onUpgrade(PATH) { rest, request ->
        tasks.launchOnce("relayed connection") { accept(rest, request) }
    }

    /** Refuses new connections, and waits up to [millis] until the other nodes have ended the open ones. */
    suspend fun stop(millis: Long) {
        isStopping = true
        tunnels.forEach { it.onStopping() }
        val endMillis = clock.millis() + millis
        while (tunnels.isNotEmpty() && clock.millis() < endMillis) delay(CHECK_INTERVAL_MILLIS)
        // Without a frame, because the workers have not ended their connections.
        tunnels.toList().forEach { it.end(frame = null) }
    }

    private suspend fun accept(rest: String, request: HttpServerRequest) {
        request.pause()
        val target = find(rest)
        when {
            isStopping || !path.isUsable || tunnels.size >= MAXIMUM_TUNNELS -> refuse(request, UNAVAILABLE)
            target == null || !target.isAvailable -> refuse(request, WORKER_UNREACHABLE)
            else -> open(target, request)
        }
    }

    private suspend fun open(target: WorkerState, request: HttpServerRequest) {
        val worker = direct.connect(target.worker) { it.socket.also { socket -> socket.pause() } }
        if (worker == null) {
            // A node that has not reached any worker for a while may be cut off itself and not know it yet.
            val isOwnPathSound = path.isUsable && path.hasSucceededWithin(SOUND_MILLIS)
            return refuse(request, if (isOwnPathSound) WORKER_UNREACHABLE else UNAVAILABLE)
        }
        val caller = try {
            request.toNetSocket().coAwait()
        } catch (exception: Exception) {
            worker.close()
            throw exception
        }
        caller.pause()
        Tunnel(caller, worker).start()
    }

    /** Returns the worker that [rest] of the path names, if this node knows the same start of it. */
    private fun find(rest: String): WorkerState? =
        workers.state(rest.substringBefore('/'))?.takeIf { "${it.worker.startedMillis}" == rest.substringAfter('/') }

    private fun refuse(request: HttpServerRequest, status: Int) {
        val response = request.response()
        if (!response.closed()) response.setStatusCode(status).putHeader("Connection", "close").end()
    }

    companion object {
        private val logger = KotlinLogging.logger {}
        private const val PATH = "/workers/"

        /** Status of the response when the connection to the worker is open. */
        const val SWITCHING_PROTOCOLS = 101

        /** Status of the response when this node does not reach the worker. */
        const val WORKER_UNREACHABLE = 502

        // This node can't relay at present.
        private const val UNAVAILABLE = 503

        // Several times the requests that one of a few nodes carries for all others of its zone. Bounds the descriptors.
        private const val MAXIMUM_TUNNELS = 256

        // A node checks its path within this time when a connection fails.
        private const val SOUND_MILLIS = 2_000L
        private const val CHECK_INTERVAL_MILLIS = 100L

        /** Returns the request for a connection to [worker], for the node at [address]. */
        fun request(worker: FleetWorker, address: String): Buffer = Buffer.buffer(
            "GET $PATH${worker.id}/${worker.startedMillis} HTTP/1.1\r\nHost: $address\r\n" +
                "Connection: Upgrade\r\nUpgrade: worker\r\n\r\n",
        )
    }
}
