package org.poplarshift.standins

import picocli.CommandLine
import kotlin.system.exitProcess

/** Runs the stand-ins command line. */
fun main(arguments: Array<String>) {
    val exitCode = CommandLine(StandInsCommand()).execute(*arguments)
    if (exitCode != 0) exitProcess(exitCode)
}
