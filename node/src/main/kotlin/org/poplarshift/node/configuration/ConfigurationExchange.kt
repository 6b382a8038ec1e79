package org.poplarshift.node.configuration

import io.vertx.ext.web.Router
import org.poplarshift.node.NodePart
import org.poplarshift.node.http.json
import org.poplarshift.node.peer.GossipParticipant
import org.poplarshift.node.peer.PeerClient
import org.poplarshift.node.peer.PeerResult
import org.poplarshift.wire.ConfigurationResponse
import org.poplarshift.wire.GossipMessage

/**
 * Replicates the configuration between peers, for nodes that can't reach the log. A node fetches the whole
 * configuration of a peer that has a newer version: it takes less memory than the records since any version, and all
 * nodes derive the same configuration from the same version.
 */
class ConfigurationExchange(
    private val store: DefaultConfigurationStore,
    private val client: PeerClient,
    private val peersRouter: Router,
) : NodePart,
    GossipParticipant {
    override suspend fun start() {
        peersRouter.get(PATH).handler { routing ->
            val after = routing.request().getParam("after")?.toLongOrNull() ?: -1
            val newer = store.current.value.takeIf { it.version > after }
            routing.json(ConfigurationResponse.serializer(), ConfigurationResponse(newer))
        }
    }

    override fun contribute(message: GossipMessage): GossipMessage = message.copy(
        configurationVersion = store.current.value.version,
        configurationAgeMillis = store.ageMillis,
    )

    override suspend fun accept(message: GossipMessage, sentMillis: Long) {
        val ownVersion = store.current.value.version
        if (message.configurationVersion > ownVersion) pull(message.sender.address, ownVersion)
        message.configurationAgeMillis?.let { store.confirm(message.configurationVersion, sentMillis - it) }
    }

    private suspend fun pull(address: String, ownVersion: Long) {
        val result = client.get(address, "$PATH?after=$ownVersion", ConfigurationResponse.serializer(), TIMEOUT_MILLIS)
        if (result is PeerResult.Answered) result.response.configuration?.let { store.adopt(it) }
    }

    private companion object {
        const val PATH = "/peer/configuration"
        const val TIMEOUT_MILLIS = 2_000L
    }
}
