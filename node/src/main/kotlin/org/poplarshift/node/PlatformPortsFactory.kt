package org.poplarshift.node

import io.vertx.core.Vertx
import io.vertx.core.http.PoolOptions
import io.vertx.ext.web.client.WebClient
import io.vertx.ext.web.client.WebClientOptions
import org.poplarshift.node.settings.NodeSettings
import org.poplarshift.ports.HttpLogService
import org.poplarshift.ports.HttpVmList
import org.poplarshift.ports.HttpWeightStore

/** Creates the ports to the platform services that the settings specify. */
object PlatformPortsFactory {
    /** Creates HTTP adapters that share one client on [vertx]. */
    fun create(vertx: Vertx, settings: NodeSettings): PlatformPorts {
        val options = WebClientOptions()
            .setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
            .setKeepAliveTimeout(KEEP_ALIVE_TIMEOUT_SECONDS)
            .setIdleTimeout(IDLE_TIMEOUT_SECONDS)
            .setLocalAddress(settings.outgoingHost)
        val client = WebClient.create(vertx, options, PoolOptions().setHttp1MaxSize(MAXIMUM_CONNECTIONS))
        val platform = settings.platform
        return PlatformPorts(
            logService = HttpLogService(client, platform.logAddress),
            vmList = HttpVmList(client, platform.vmListAddress),
            weightStore = HttpWeightStore(client, platform.weightStoreAddress),
        )
    }

    private const val CONNECT_TIMEOUT_MILLIS = 1_000
    private const val KEEP_ALIVE_TIMEOUT_SECONDS = 10

    // Longer than any long poll. Without it, a connection that stalls within a response would stay in the pool.
    private const val IDLE_TIMEOUT_SECONDS = 30

    // Each followed stream occupies one connection with a long poll, and appends must not wait for these.
    private const val MAXIMUM_CONNECTIONS = 32
}
