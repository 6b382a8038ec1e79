package org.poplarshift.node

import picocli.CommandLine
import kotlin.system.exitProcess

/** Entry point of the program. */
fun main(arguments: Array<String>) {
    exitProcess(CommandLine(NodeCommand()).execute(*arguments))
}
