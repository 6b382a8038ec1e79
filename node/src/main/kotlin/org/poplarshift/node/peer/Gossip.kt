package org.poplarshift.node.peer

import io.github.oshai.kotlinlogging.KotlinLogging
import io.vertx.ext.web.Router
import io.vertx.ext.web.RoutingContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.serialization.SerializationException
import org.poplarshift.core.verdict.RefusalReason
import org.poplarshift.core.verdict.RunStatus
import org.poplarshift.node.NodeContext
import org.poplarshift.node.NodeLifecycle
import org.poplarshift.node.NodePart
import org.poplarshift.node.http.BodyResult
import org.poplarshift.node.http.ErrorResponse
import org.poplarshift.node.http.json
import org.poplarshift.node.http.readBody
import org.poplarshift.node.http.suspendingHandler
import org.poplarshift.wire.GossipMessage
import org.poplarshift.wire.WireJson

/** Push-pull gossip: every [periodMillis] milliseconds a full exchange with [fanOut] random peers. */
class Gossip(
    private val context: NodeContext,
    private val lifecycle: NodeLifecycle,
    private val directory: DefaultPeerDirectory,
    private val client: PeerClient,
    private val peersRouter: Router,
    private val participants: List<GossipParticipant>,
    private val periodMillis: Long = 1_000,
    private val fanOut: Int = 2,
) : NodePart {
    override suspend fun start() {
        peersRouter.post(PATH).suspendingHandler(context.scope) { handle(it) }
        context.scope.launch {
            while (isActive) {
                directory.incrementHeartbeat(lifecycle.isLeaving)
                directory.exchangeTargets().shuffled().take(fanOut).forEach { launch { exchange(it) } }
                delay(periodMillis)
            }
        }
    }

    /** Notifies all peers directly that this node is leaving, so that none has to wait for a gossip round. */
    override suspend fun leave() {
        directory.incrementHeartbeat(isLeaving = true)
        directory.exchangeTargets().forEach { context.scope.launch { exchange(it) } }
    }

    private suspend fun exchange(address: String) {
        val sentMillis = context.clock.millis()
        val response = post(address, buildMessage().copy(digest = directory.digest())) ?: return
        accept(response, sentMillis)
        val wanted = response.delta.wanted
        if (wanted.isNotEmpty()) post(address, buildMessage().copy(delta = directory.entriesFor(wanted)))
    }

    private suspend fun post(address: String, message: GossipMessage): GossipMessage? {
        val serializer = GossipMessage.serializer()
        return when (val result = client.post(address, PATH, message, serializer, serializer)) {
            is PeerResult.Answered -> result.response
            is PeerResult.Unreachable -> {
                log.debug { "peers: exchange with $address failed: ${result.reason}" }
                null
            }
        }
    }

    private suspend fun handle(routing: RoutingContext) {
        val receivedMillis = context.clock.millis()
        val read = routing.request().readBody(MAXIMUM_BYTES, idleMillis = periodMillis)
        val message = try {
            (read as? BodyResult.Complete)?.let {
                WireJson.lenient.decodeFromString(GossipMessage.serializer(), it.body.toString())
            }
        } catch (exception: SerializationException) {
            log.warn { "peers: rejected an undecodable exchange message: ${exception.message}" }
            null
        }
        if (message == null) {
            ErrorResponse(
                RefusalReason.BAD_REQUEST,
                "not an exchange message",
                RunStatus.NOT_RUN,
            ).send(routing.response())
            return
        }
        val response = buildMessage().copy(delta = directory.deltaFor(message.digest))
        routing.json(GossipMessage.serializer(), response)
        accept(message, receivedMillis)
    }

    private suspend fun accept(message: GossipMessage, sentMillis: Long) {
        directory.merge(message.sender, message.delta)
        participants.forEach { it.accept(message, sentMillis) }
    }

    private fun buildMessage(): GossipMessage =
        participants.fold(GossipMessage(sender = directory.self)) { message, participant ->
            participant.contribute(message)
        }

    private companion object {
        val log = KotlinLogging.logger {}
        const val PATH = "/peer/exchange"
        const val MAXIMUM_BYTES = 4_194_304
    }
}
