package org.poplarshift.node

import io.vertx.core.Vertx
import io.vertx.ext.web.client.WebClient
import io.vertx.ext.web.client.WebClientOptions
import org.poplarshift.node.settings.PlatformSettings
import org.poplarshift.platform.HttpLogService
import org.poplarshift.platform.HttpVmList
import org.poplarshift.platform.HttpWeightStore

/** Makes the ports to the platform that the settings name. */
object PlatformPortsFactory {
    /** Makes HTTP adapters that share one client on [vertx]. */
    fun create(vertx: Vertx, settings: PlatformSettings): PlatformPorts {
        val options = WebClientOptions().setConnectTimeout(
            CONNECT_TIMEOUT_MILLIS,
        ).setKeepAliveTimeout(KEEP_ALIVE_SECONDS)
        val client = WebClient.create(vertx, options)
        return PlatformPorts(
            logService = HttpLogService(client, settings.logAddress),
            vmList = HttpVmList(client, settings.vmListAddress),
            weightStore = HttpWeightStore(client, settings.weightStoreAddress),
        )
    }

    private const val CONNECT_TIMEOUT_MILLIS = 1_000
    private const val KEEP_ALIVE_SECONDS = 10
}
