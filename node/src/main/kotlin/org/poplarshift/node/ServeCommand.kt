package org.poplarshift.node

import io.github.oshai.kotlinlogging.KotlinLogging
import io.micrometer.core.instrument.Gauge
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import io.vertx.core.Vertx
import io.vertx.core.VertxOptions
import io.vertx.core.file.FileSystemOptions
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import org.poplarshift.node.settings.LogFormat
import org.poplarshift.platform.PlatformPorts
import org.poplarshift.platform.PlatformSettings
import org.poplarshift.serving.ServingNode
import picocli.CommandLine
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import java.nio.file.Path
import java.util.concurrent.Callable
import java.util.concurrent.CountDownLatch

/** Serves callers on one entry VM of the platform. */
@Command(
    name = ServeCommand.NAME,
    description = ["Serves callers on one entry VM of the platform that deploy/ describes."],
    mixinStandardHelpOptions = true,
    exitCodeListHeading = "%nExit codes:%n",
    exitCodeList = ["0:ended after SIGTERM", "1:could not start", "2:wrong usage or settings"],
)
class ServeCommand : Callable<Int> {
    @Option(
        names = ["--settings"],
        paramLabel = "FILE",
        defaultValue = "\${env:" + PlatformSettings.FILE_VARIABLE + "}",
        description = ["Settings file in JSON; by default the file that the platform names."],
    )
    var settingsFile: Path? = null

    override fun call(): Int {
        val file = settingsFile
        if (file == null) {
            System.err.println("poplarshift-node: no settings file given")
            return CommandLine.ExitCode.USAGE
        }
        val settings = PlatformSettings.read(file).getOrElse {
            System.err.println("poplarshift-node: ${it.message}")
            return CommandLine.ExitCode.USAGE
        }
        return run(file, settings)
    }

    private fun run(file: Path, settings: PlatformSettings): Int {
        Logging.configure(LogFormat.JSON)
        val vertx = Vertx.vertx(vertxOptions())
        val exceptionHandler =
            CoroutineExceptionHandler { _, exception -> logger.error(exception) { "node: a background task failed" } }
        val scope = CoroutineScope(SupervisorJob() + vertx.dispatcher() + exceptionHandler)
        val metrics = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
        Gauge.builder("log_lines_dropped") { CountingAsyncAppender.dropped }.register(metrics)
        val node =
            ServingNode(vertx, scope, settings.toServingSettings(), PlatformPorts(vertx, settings), metrics = metrics)
        val reload = SettingsReload(file, settings) { changed ->
            vertx.runOnContext { node.updateTimes(changed.toServingSettings()) }
        }
        reload.listen()
        stopOnShutdown(node, scope)
        try {
            runBlocking { scope.async { node.start() }.await() }
        } catch (exception: Exception) {
            logger.error(exception) { "node: start failed, exiting" }
            Runtime.getRuntime().halt(CommandLine.ExitCode.SOFTWARE)
        }
        CountDownLatch(1).await()
        return CommandLine.ExitCode.OK
    }

    private fun stopOnShutdown(node: ServingNode, scope: CoroutineScope) {
        Runtime.getRuntime().addShutdownHook(
            Thread {
                runBlocking { scope.async { node.stop() }.await() }
                Logging.flush()
                // The JVM would otherwise exit with 143 after SIGTERM.
                Runtime.getRuntime().halt(CommandLine.ExitCode.OK)
            },
        )
        StartSignals.runShutdownHooks()
    }

    companion object {
        const val NAME = "serve"

        private val logger = KotlinLogging.logger {}

        /** Options for one event loop, which owns all state. More threads would only use memory. */
        fun vertxOptions(): VertxOptions = VertxOptions()
            .setEventLoopPoolSize(1)
            .setWorkerPoolSize(1)
            .setInternalBlockingPoolSize(1)
            .setFileSystemOptions(FileSystemOptions().setFileCachingEnabled(false).setClassPathResolvingEnabled(false))
    }
}
