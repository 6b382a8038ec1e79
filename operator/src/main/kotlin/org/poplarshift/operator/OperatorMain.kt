package org.poplarshift.operator

import kotlin.system.exitProcess

/** Entry point of the program. */
fun main(arguments: Array<String>) {
    exitProcess(operatorCommandLine().execute(*arguments))
}
