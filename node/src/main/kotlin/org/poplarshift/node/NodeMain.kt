package org.poplarshift.node

import picocli.CommandLine
import kotlin.system.exitProcess

/** Entry point of the program. */
fun main(arguments: Array<String>) {
    // Before anything else, because until then signals end the program.
    if (ServeCommand.NAME in arguments) StartSignals.handle()
    exitProcess(CommandLine(NodeCommand()).execute(*arguments))
}
