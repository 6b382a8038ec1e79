package org.poplarshift.node

import io.vertx.core.Vertx
import io.vertx.core.http.PoolOptions
import io.vertx.ext.web.client.WebClient
import io.vertx.ext.web.client.WebClientOptions
import org.poplarshift.node.settings.NodeSettings
import org.poplarshift.ports.HttpLogService
import org.poplarshift.ports.HttpVmList
import org.poplarshift.ports.HttpWeightStore

/** Makes the ports to the platform that the settings name. */
object PlatformPortsFactory {
    /** Makes HTTP adapters that share one client on [vertx]. */
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

    // Longer than any long poll. A connection that falls silent within a response would keep its place in the pool.
    private const val IDLE_TIMEOUT_SECONDS = 30

    // Each followed stream keeps one connection busy with a long poll; appends must not wait behind them.
    private const val MAXIMUM_CONNECTIONS = 32
}
