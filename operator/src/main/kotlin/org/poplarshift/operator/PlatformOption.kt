package org.poplarshift.operator

import io.vertx.core.Vertx
import io.vertx.ext.web.client.WebClient
import io.vertx.kotlin.coroutines.coAwait
import kotlinx.coroutines.runBlocking
import org.poplarshift.operator.configuration.ConfigurationLog
import org.poplarshift.ports.HttpLogService
import picocli.CommandLine.Option

/** The option with the address of the platform, shared by commands. */
class PlatformOption {
    @Option(
        names = ["--platform"],
        required = true,
        paramLabel = "IP:PORT",
        defaultValue = "\${env:POPLARSHIFT_PLATFORM}",
        description = ["Address of the platform's log. Default: the environment variable POPLARSHIFT_PLATFORM."],
    )
    lateinit var address: String

    /** Runs [block] with a connection to the log stream `configuration` and closes it afterwards. */
    fun <T> withConfiguration(block: suspend (ConfigurationLog) -> T): T = runBlocking {
        val vertx = Vertx.vertx()
        try {
            block(ConfigurationLog(HttpLogService(WebClient.create(vertx), address)))
        } finally {
            vertx.close().coAwait()
        }
    }
}
