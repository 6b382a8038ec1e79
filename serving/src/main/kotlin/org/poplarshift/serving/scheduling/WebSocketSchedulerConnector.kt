package org.poplarshift.serving.scheduling

import kotlinx.serialization.json.Json
import org.poplarshift.core.dispatch.NodeMessage
import org.poplarshift.core.dispatch.SchedulerMessage
import org.poplarshift.serving.fleet.FleetMember
import org.poplarshift.serving.peer.PeerClient
import org.poplarshift.serving.peer.PeerMessages

/** Connects to the schedulers of other nodes over WebSockets and to those of this node directly. */
class WebSocketSchedulerConnector(
    private val self: FleetMember,
    private val client: PeerClient,
    private val host: SchedulerHost,
) : SchedulerConnector {
    override suspend fun connect(
        member: FleetMember,
        service: String,
        hello: NodeMessage.Hello,
        receiver: SchedulerReceiver,
    ): SchedulerChannel? {
        if (member.name == self.name) return host.connectLocally(service, hello, receiver)
        val socket = client.openSocket(member, SchedulerHost.SOCKET_PATH + service, CONNECT_TIMEOUT_MILLIS)
            ?: return null
        socket.onMessage { text ->
            val message = PeerMessages.decode(SchedulerMessage.serializer(), text, COMPONENT)
            if (message == null) socket.close() else receiver.onMessage(message)
        }
        socket.onClose { receiver.onClosed() }
        val channel = object : SchedulerChannel {
            override fun send(message: NodeMessage) =
                socket.send(Json.encodeToString(NodeMessage.serializer(), message))

            override fun close() = socket.close()
        }
        channel.send(hello)
        return channel
    }

    private companion object {
        const val COMPONENT = "scheduling"
        const val CONNECT_TIMEOUT_MILLIS = 300L
    }
}
