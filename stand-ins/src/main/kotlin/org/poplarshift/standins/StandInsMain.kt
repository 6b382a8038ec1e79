package org.poplarshift.standins

import picocli.CommandLine
import kotlin.system.exitProcess

/** Entry point of the program. */
fun main(arguments: Array<String>) {
    val exitCode = CommandLine(StandInsCommand()).execute(*arguments)
    if (exitCode != 0) exitProcess(exitCode)
}
