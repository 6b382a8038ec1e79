package org.poplarshift.node

import picocli.CommandLine
import sun.misc.Signal
import kotlin.system.exitProcess

/** Entry point of the program. */
fun main(arguments: Array<String>) {
    // Before anything else, because until then SIGHUP ends the program. The JVM lets nothing replace SIG_IGN.
    if (SERVE in arguments) Signal.handle(Signal("HUP")) {}
    exitProcess(CommandLine(NodeCommand()).execute(*arguments))
}

private const val SERVE = "serve"
