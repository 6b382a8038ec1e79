package org.poplarshift.operator

import kotlin.system.exitProcess

fun main(arguments: Array<String>) {
    exitProcess(operatorCommandLine().execute(*arguments))
}
