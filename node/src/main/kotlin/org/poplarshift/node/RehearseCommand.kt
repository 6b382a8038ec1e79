package org.poplarshift.node

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.runBlocking
import org.poplarshift.node.settings.LogFormat
import picocli.CommandLine
import picocli.CommandLine.Command
import java.util.concurrent.Callable

/**
 * Starts a node on loopback with an unreachable log, sends it requests and exits.
 *
 * The build runs it to record the classes of a node in a class data sharing archive, which shortens later starts. A
 * failed request leaves some classes out of the archive, and the node loads them from its files. That is no reason for
 * the build to fail.
 */
@Command(
    name = "rehearse",
    description = ["Starts a node on loopback without a log and exits; the build records its classes."],
    mixinStandardHelpOptions = true,
    exitCodeListHeading = "%nExit codes:%n",
    exitCodeList = ["0:the node has started and its classes are recorded", "1:the node could not start"],
)
class RehearseCommand internal constructor(private val rehearsal: Rehearsal) : Callable<Int> {
    constructor() : this(Rehearsal())

    override fun call(): Int {
        Logging.configure(LogFormat.JSON)
        return when (val result = runBlocking { rehearsal.run() }) {
            is RehearsalResult.NotStarted -> {
                logger.error(result.cause) { "rehearse: the node could not start" }
                CommandLine.ExitCode.SOFTWARE
            }

            is RehearsalResult.Started -> {
                result.failures.forEach { failure ->
                    logger.warn(failure) { "rehearse: a request failed; its classes may be missing in the archive" }
                }
                CommandLine.ExitCode.OK
            }
        }
    }

    private companion object {
        val logger = KotlinLogging.logger {}
    }
}
