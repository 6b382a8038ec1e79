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

/** Push-pull gossip: each [periodMillis] a full exchange with [fanOut] random peers. */
class Gossip(
    private val context: NodeContext,
    private val lifecycle: NodeLifecycle,
    private val directory: DefaultPeerDirectory,
    private val client: PeerClient,
    private val peersRouter: Router,
    private val parts: List<ExchangePart>,
    private val periodMillis: Long = 1_000,
    private val fanOut: Int = 2,
) : NodePart {
    override suspend fun start() {
        peersRouter.post(PATH).suspendingHandler(context.scope) { answer(it) }
        context.scope.launch {
            while (isActive) {
                directory.beat(lifecycle.isLeaving)
                directory.contacts().shuffled().take(fanOut).forEach { launch { exchange(it) } }
                delay(periodMillis)
            }
        }
    }

    /** Tells all peers at once that this node leaves, so that none learns it only by gossip. */
    override suspend fun leave() {
        directory.beat(isLeaving = true)
        directory.contacts().forEach { context.scope.launch { exchange(it) } }
    }

    private suspend fun exchange(address: String) {
        val sentMillis = context.clock.millis()
        val response = post(address, message().copy(digest = directory.digest())) ?: return
        accept(response, sentMillis)
        val wanted = response.delta.wanted
        if (wanted.isNotEmpty()) post(address, message().copy(delta = directory.entriesFor(wanted)))
    }

    private suspend fun post(address: String, message: GossipMessage): GossipMessage? {
        val serializer = GossipMessage.serializer()
        return when (val result = client.post(address, PATH, message, serializer, serializer)) {
            is PeerResult.Answered -> result.response
            is PeerResult.Unreachable -> {
                log.debug { "peers: no exchange with $address: ${result.reason}" }
                null
            }
        }
    }

    private suspend fun answer(routing: RoutingContext) {
        val receivedMillis = context.clock.millis()
        val read = routing.request().readBody(MAXIMUM_BYTES, idleMillis = periodMillis)
        val message = try {
            (read as? BodyResult.Complete)?.let {
                WireJson.lenient.decodeFromString(GossipMessage.serializer(), it.body.toString())
            }
        } catch (exception: SerializationException) {
            log.warn { "peers: an exchange message is not readable: ${exception.message}" }
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
        val response = message().copy(delta = directory.answer(message.digest))
        routing.json(GossipMessage.serializer(), response)
        accept(message, receivedMillis)
    }

    private suspend fun accept(message: GossipMessage, sentMillis: Long) {
        directory.merge(message.sender, message.delta)
        parts.forEach { it.accept(message, sentMillis) }
    }

    private fun message(): GossipMessage =
        parts.fold(GossipMessage(sender = directory.self)) { built, part -> part.contribute(built) }

    private companion object {
        val log = KotlinLogging.logger {}
        const val PATH = "/peer/exchange"
        const val MAXIMUM_BYTES = 4_194_304
    }
}
