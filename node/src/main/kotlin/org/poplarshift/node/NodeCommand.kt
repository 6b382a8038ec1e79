package org.poplarshift.node

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.runBlocking
import org.poplarshift.node.settings.NodeSettings
import org.poplarshift.node.settings.SettingsReader
import org.poplarshift.node.settings.SettingsResult
import picocli.CommandLine
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import java.nio.file.Path
import java.util.concurrent.Callable
import java.util.concurrent.CountDownLatch

/** The command line of `poplarshift-node`. */
@Command(
    name = "poplarshift-node",
    description = ["Serves callers on one entry VM."],
    mixinStandardHelpOptions = true,
    versionProvider = NodeVersion::class,
    sortOptions = false,
    exitCodeListHeading = "%nExit codes:%n",
    exitCodeList = ["0:ended after SIGTERM", "1:could not start", "2:wrong usage or settings"],
)
class NodeCommand : Callable<Int> {
    @Option(names = ["--settings"], required = true, paramLabel = "FILE", description = ["The settings, as JSON."])
    lateinit var settingsFile: Path

    override fun call(): Int = when (val result = SettingsReader().read(settingsFile)) {
        is SettingsResult.Invalid -> {
            result.problems.forEach { System.err.println("poplarshift-node: ${it.describe()}") }
            CommandLine.ExitCode.USAGE
        }

        is SettingsResult.Valid -> run(result.settings)
    }

    private fun run(settings: NodeSettings): Int {
        Logging.configure(settings.logFormat)
        val node = NodeFactory.create(settings) { PlatformPortsFactory.create(it, settings) }
        Runtime.getRuntime().addShutdownHook(Thread { leave(node) })
        try {
            runBlocking { node.start() }
        } catch (exception: Exception) {
            KotlinLogging.logger {}.error(exception) { "node: could not start" }
            Runtime.getRuntime().halt(CommandLine.ExitCode.SOFTWARE)
        }
        CountDownLatch(1).await()
        return CommandLine.ExitCode.OK
    }

    private fun leave(node: Node) {
        runBlocking { node.shutdown() }
        // The JVM would otherwise exit with 143 after SIGTERM.
        Runtime.getRuntime().halt(CommandLine.ExitCode.OK)
    }
}
