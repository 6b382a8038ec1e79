package org.poplarshift.operator

import org.poplarshift.operator.batch.BatchCommand
import org.poplarshift.operator.catalogue.CatalogueCommand
import org.poplarshift.operator.key.KeyCommand
import org.poplarshift.operator.load.LoadCommand
import org.poplarshift.operator.status.ExplainRouteCommand
import org.poplarshift.operator.status.StatusCommand
import picocli.CommandLine
import picocli.CommandLine.Command

/** The top-level command `poplarshift`. */
@Command(
    name = "poplarshift",
    description = ["Publishes catalogues, manages API keys, submits batch jobs and shows the state of a federation."],
    mixinStandardHelpOptions = true,
    scope = CommandLine.ScopeType.INHERIT,
    versionProvider = OperatorVersion::class,
    subcommands = [
        CatalogueCommand::class, KeyCommand::class, BatchCommand::class, StatusCommand::class, LoadCommand::class,
        ExplainRouteCommand::class,
    ],
    exitCodeListHeading = "%nExit codes:%n",
    exitCodeList = [
        "0:done",
        "1:the platform or a node did not do it",
        "2:wrong usage or an invalid file",
        "3:another operator published first",
    ],
)
class OperatorCommand

/** Returns the command line of the program. An [OperatorException] is printed as its message, without stack trace. */
fun operatorCommandLine(): CommandLine =
    CommandLine(OperatorCommand()).setExecutionExceptionHandler { exception, commandLine, _ ->
        if (exception !is OperatorException) throw exception
        commandLine.err.println("poplarshift: ${exception.message}")
        exception.exitCode
    }
