package org.poplarshift.serving.peer

import io.github.oshai.kotlinlogging.KotlinLogging
import io.micrometer.core.instrument.MeterRegistry
import io.netty.buffer.Unpooled
import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.internal.net.NetSocketInternal
import io.vertx.core.net.NetClientOptions
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import org.poplarshift.core.dispatch.FleetWorker
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.serving.fleet.FleetMember
import org.poplarshift.serving.forward.DirectWorkerConnector
import org.poplarshift.serving.forward.WorkerConnector
import org.poplarshift.serving.forward.WorkerSocket
import org.poplarshift.serving.http.SocketAddresses

/**
 * Opens connections to workers through other nodes, see [WorkerRelayServer].
 *
 * @param peers returns the nodes that may relay requests
 */
class PeerWorkerRelay(
    vertx: Vertx,
    localHost: String,
    clock: MonotonicClock,
    private val metrics: MeterRegistry,
    private val peers: () -> List<FleetMember>,
) : WorkerConnector {
    private val route = RelayRoute(clock, MAXIMUM_PROVEN)
    private val client = vertx.createNetClient(
        NetClientOptions().setLocalAddress(localHost).setTcpNoDelay(true).setConnectTimeout(PEER_TIMEOUT_MILLIS),
    )

    private sealed interface Outcome<out T> {
        data class Opened<T>(val connection: T) : Outcome<T>

        /** The node can be used, but does not reach the worker. */
        data object WorkerUnreachable : Outcome<Nothing>

        /** The node can't be used. */
        data class Failed(val reason: String) : Outcome<Nothing>
    }

    override suspend fun <T : Any> connect(worker: FleetWorker, accept: (WorkerSocket) -> T): T? {
        for (peer in route.candidates(peers())) {
            val outcome = open(peer, worker, accept)
            count(outcome)
            when (outcome) {
                is Outcome.Opened -> return outcome.connection.also { route.onServed(peer.name) }

                Outcome.WorkerUnreachable -> return null

                is Outcome.Failed -> {
                    logger.debug { "relay: ${peer.name} does not relay to ${worker.id}: ${outcome.reason}" }
                    route.onFailed(peer.name)
                }
            }
        }
        return null
    }

    /** Records that nothing was received through [peer] in time. */
    fun onSilent(peer: String) = route.onFailed(peer)

    private fun count(outcome: Outcome<*>) {
        val name = when (outcome) {
            is Outcome.Opened -> "opened"
            Outcome.WorkerUnreachable -> "worker_unreachable"
            is Outcome.Failed -> "failed"
        }
        metrics.counter("worker_relays", "outcome", name).increment()
    }

    private suspend fun <T : Any> open(
        peer: FleetMember,
        worker: FleetWorker,
        accept: (WorkerSocket) -> T,
    ): Outcome<T> {
        val result = CompletableDeferred<Outcome<T>>()
        val pending = client.connect(SocketAddresses.parse(peer.peerAddress))
        pending.onFailure { result.complete(Outcome.Failed(it.message ?: it.javaClass.simpleName)) }
        pending.onSuccess { socket ->
            val answer = Buffer.buffer()
            socket.exceptionHandler { result.complete(Outcome.Failed(it.message ?: it.javaClass.simpleName)) }
            socket.closeHandler { result.complete(Outcome.Failed("closed")) }
            socket.handler { bytes ->
                answer.appendBuffer(bytes)
                val headBytes = answer.toString(Charsets.ISO_8859_1).indexOf(HEAD_END) + HEAD_END.length
                if (headBytes >= HEAD_END.length) {
                    result.complete(onHead(answer, headBytes, peer, socket as NetSocketInternal, accept))
                }
            }
            socket.write(WorkerRelayServer.request(worker, peer.peerAddress))
        }
        var outcome: Outcome<T>? = null
        try {
            outcome = withTimeoutOrNull(TIMEOUT_MILLIS) { result.await() }
            return outcome ?: Outcome.Failed("silent")
        } finally {
            if (outcome !is Outcome.Opened) pending.onSuccess { it.close() }
        }
    }

    private fun <T : Any> onHead(
        answer: Buffer,
        headBytes: Int,
        peer: FleetMember,
        socket: NetSocketInternal,
        accept: (WorkerSocket) -> T,
    ): Outcome<T> = when (val status = statusOf(answer.getString(0, headBytes))) {
        WorkerRelayServer.SWITCHING_PROTOCOLS -> {
            val opened = WorkerSocket(socket, peer.name)
            val pipeline = socket.channelHandlerContext().pipeline()
            pipeline.addFirst("frames", TunnelDecoder(opened::onRelayLeaving) { opened.isRelayLost = true })
            val connection = accept(opened)
            // A worker may send or close at once, so that frames arrive together with the head.
            val frames = answer.getBytes(headBytes, answer.length())
            if (frames.isNotEmpty()) pipeline.fireChannelRead(Unpooled.wrappedBuffer(frames))
            Outcome.Opened(connection)
        }

        WorkerRelayServer.WORKER_UNREACHABLE -> Outcome.WorkerUnreachable
        else -> Outcome.Failed("status $status")
    }

    private fun statusOf(head: String): Int? = head.substringAfter(' ').substringBefore(' ').toIntOrNull()

    private companion object {
        val logger = KotlinLogging.logger {}
        const val HEAD_END = "\r\n\r\n"

        // Divides the requests of a node among a few others.
        const val MAXIMUM_PROVEN = 4
        const val PEER_TIMEOUT_MILLIS = 300

        // The other node connects to the worker meanwhile.
        const val TIMEOUT_MILLIS = DirectWorkerConnector.CONNECT_TIMEOUT_MILLIS + 200
    }
}
