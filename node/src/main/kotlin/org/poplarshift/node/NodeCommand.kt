package org.poplarshift.node

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.runBlocking
import org.poplarshift.node.settings.NodeSettings
import org.poplarshift.node.settings.SettingsReader
import org.poplarshift.node.settings.SettingsResult
import picocli.CommandLine
import picocli.CommandLine.Command
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Option
import picocli.CommandLine.ParameterException
import picocli.CommandLine.Spec
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
    subcommands = [ServeCommand::class, RehearseCommand::class],
    exitCodeListHeading = "%nExit codes:%n",
    exitCodeList = ["0:ended after SIGTERM", "1:could not start", "2:wrong usage or settings"],
)
class NodeCommand : Callable<Int> {
    @Spec
    lateinit var specification: CommandSpec

    // Not marked as required, because picocli would then require it for subcommands as well.
    @Option(names = ["--settings"], paramLabel = "FILE", description = ["Settings file in JSON. Required."])
    var settingsFile: Path? = null

    override fun call(): Int {
        val file = settingsFile
            ?: throw ParameterException(specification.commandLine(), "Missing required option: '--settings=FILE'")
        return when (val result = SettingsReader().read(file)) {
            is SettingsResult.Invalid -> {
                result.problems.forEach { System.err.println("poplarshift-node: ${it.describe()}") }
                CommandLine.ExitCode.USAGE
            }

            is SettingsResult.Valid -> run(result.settings)
        }
    }

    private fun run(settings: NodeSettings): Int {
        Logging.configure(settings.logFormat)
        val node = NodeFactory.create(settings) { PlatformPortsFactory.create(it, settings) }
        Runtime.getRuntime().addShutdownHook(Thread { shutdownAndExit(node) })
        try {
            runBlocking { node.start() }
        } catch (exception: Exception) {
            KotlinLogging.logger {}.error(exception) { "node: start failed, exiting" }
            Runtime.getRuntime().halt(CommandLine.ExitCode.SOFTWARE)
        }
        CountDownLatch(1).await()
        return CommandLine.ExitCode.OK
    }

    private fun shutdownAndExit(node: Node) {
        runBlocking { node.shutdown() }
        // The JVM would otherwise exit with 143 after SIGTERM.
        Runtime.getRuntime().halt(CommandLine.ExitCode.OK)
    }
}
