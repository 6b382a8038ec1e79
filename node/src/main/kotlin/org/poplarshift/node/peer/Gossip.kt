package org.poplarshift.node.peer

import io.github.oshai.kotlinlogging.KotlinLogging
import io.vertx.ext.web.Router
import io.vertx.ext.web.RoutingContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.serialization.SerializationException
import org.poplarshift.core.verdict.Ran
import org.poplarshift.core.verdict.RefusalReason
import org.poplarshift.node.NodeContext
import org.poplarshift.node.NodeLifecycle
import org.poplarshift.node.NodePart
import org.poplarshift.node.http.ErrorAnswer
import org.poplarshift.node.http.json
import org.poplarshift.node.http.readBody
import org.poplarshift.node.http.suspendingHandler
import org.poplarshift.wire.ExchangeMessage
import org.poplarshift.wire.NodeAnnouncement
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
                directory.contacts().shuffled().take(fanOut).forEach { launch { exchange(it) } }
                delay(periodMillis)
            }
        }
    }

    /** Tells all peers at once that this node leaves, so that none learns it only by gossip. */
    override suspend fun leave() {
        directory.contacts().forEach { context.scope.launch { exchange(it) } }
    }

    private suspend fun exchange(address: String) {
        val sentMillis = context.clock.millis()
        val serializer = ExchangeMessage.serializer()
        when (val result = client.post(address, PATH, message(), serializer, serializer)) {
            is PeerResult.Answered -> accept(result.response, sentMillis)
            is PeerResult.Unreachable -> log.debug { "peers: no exchange with $address: ${result.reason}" }
        }
    }

    private suspend fun answer(routing: RoutingContext) {
        val receivedMillis = context.clock.millis()
        val body = routing.request().readBody(MAXIMUM_BYTES)
        val message = try {
            body?.let { WireJson.lenient.decodeFromString(ExchangeMessage.serializer(), it.toString()) }
        } catch (exception: SerializationException) {
            log.warn { "peers: an exchange message is not readable: ${exception.message}" }
            null
        }
        if (message == null) {
            ErrorAnswer(RefusalReason.BAD_REQUEST, "not an exchange message", Ran.NOT_RUN).send(routing.response())
            return
        }
        routing.json(ExchangeMessage.serializer(), message())
        accept(message, receivedMillis)
    }

    private suspend fun accept(message: ExchangeMessage, sentMillis: Long) {
        directory.learn(message.nodes + message.sender)
        parts.forEach { it.accept(message, sentMillis) }
    }

    private fun message(): ExchangeMessage {
        val own = NodeAnnouncement(
            vm = context.settings.vm,
            incarnation = context.incarnation,
            availabilityZone = context.settings.availabilityZone,
            address = context.settings.peersAddress,
            isLeaving = lifecycle.isLeaving,
        )
        val message = ExchangeMessage(sender = own, nodes = directory.announcements())
        return parts.fold(message) { built, part -> part.contribute(built) }
    }

    private companion object {
        val log = KotlinLogging.logger {}
        const val PATH = "/peer/exchange"
        const val MAXIMUM_BYTES = 4_194_304
    }
}
