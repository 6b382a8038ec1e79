package org.poplarshift.standins.link

import io.vertx.core.Vertx
import io.vertx.core.buffer.Buffer
import io.vertx.core.net.NetClient
import io.vertx.core.net.NetServer
import io.vertx.core.net.NetSocket
import io.vertx.ext.web.Router
import io.vertx.ext.web.handler.BodyHandler
import io.vertx.kotlin.coroutines.coAwait
import org.poplarshift.standins.StandIn
import org.poplarshift.standins.http.StandInServer
import org.poplarshift.standins.http.decodeStrictly
import org.poplarshift.standins.http.respond
import java.util.concurrent.ConcurrentHashMap

/**
 * Simulates the network in front of a listener: delays, partitions and closed connections. A silent link keeps
 * connections open and drops their bytes, as a partition does.
 */
class LinkStandIn(private val vertx: Vertx, private val settings: LinkSettings) : StandIn {
    private val controlServer = StandInServer(vertx, settings.host, settings.controlPort)
    private val sockets = ConcurrentHashMap.newKeySet<NetSocket>()
    private var server: NetServer? = null
    private val client: NetClient = vertx.createNetClient()

    /** The faults that are currently injected. */
    @Volatile
    var faults: LinkFaults = settings.faults
        private set

    override val name = "link ${settings.name}"

    override var port: Int = settings.port
        private set

    /** The port of `PUT /faults`. */
    val controlPort: Int
        get() = controlServer.port

    override suspend fun start() {
        controlServer.start(router())
        val listening = vertx.createNetServer().connectHandler(::accept).listen(settings.port, settings.host).coAwait()
        server = listening
        port = listening.actualPort()
    }

    override suspend fun stop() {
        server?.close()?.coAwait()
        sockets.forEach { it.close() }
        client.close().coAwait()
        controlServer.stop()
    }

    /** Replaces the injected faults, as `PUT /faults` does. */
    fun applyFaults(newFaults: LinkFaults) {
        faults = newFaults
        if (newFaults.cutEstablished) sockets.forEach { it.close() }
    }

    private fun router(): Router {
        val router = Router.router(vertx)
        router.route().handler(BodyHandler.create(false))
        router.get("/faults").handler { it.respond(faults) }
        router.put("/faults").handler { context ->
            context.decodeStrictly(LinkFaults.serializer())?.let {
                applyFaults(it)
                context.respond(it)
            }
        }
        return router
    }

    private fun accept(caller: NetSocket) {
        if (faults.isRefusing) {
            caller.close()
            return
        }
        track(caller)
        caller.pause()
        val host = settings.target.substringBeforeLast(':')
        client.connect(settings.target.substringAfterLast(':').toInt(), host).onComplete { result ->
            if (result.succeeded()) startRelay(caller, result.result()) else caller.close()
        }
    }

    private fun startRelay(caller: NetSocket, target: NetSocket) {
        track(target)
        val source = caller.remoteAddress().hostAddress().orEmpty()
        caller.handler { relay(source, it, target) }
        target.handler { relay(source, it, caller) }
        caller.closeHandler { propagateClose(source, caller, target) }
        target.closeHandler { propagateClose(source, target, caller) }
        caller.resume()
    }

    private fun relay(source: String, bytes: Buffer, receiver: NetSocket) {
        val delayMillis = faults.delayMillis
        if (delayMillis <= 0) {
            deliver(source, bytes, receiver)
        } else {
            vertx.setTimer(delayMillis) { deliver(source, bytes, receiver) }
        }
    }

    private fun deliver(source: String, bytes: Buffer, receiver: NetSocket) {
        if (!isSilent(source)) receiver.write(bytes)
    }

    // A partition drops the close of a connection like any other packet.
    private fun propagateClose(source: String, closed: NetSocket, other: NetSocket) {
        sockets -= closed
        vertx.setTimer(maxOf(1, faults.delayMillis)) { if (!isSilent(source)) other.close() }
    }

    private fun isSilent(source: String) = faults.isSilent || faults.silentSources.any { source.startsWith(it) }

    private fun track(socket: NetSocket) {
        sockets += socket
        socket.closeHandler { sockets -= socket }
    }
}
