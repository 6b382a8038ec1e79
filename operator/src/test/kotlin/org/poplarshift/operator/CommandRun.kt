package org.poplarshift.operator

import java.io.PrintWriter
import java.io.StringWriter

/** The exit code and the output of one command. */
data class CommandRun(val exitCode: Int, val out: String, val err: String) {
    companion object {
        /** Runs the program with [arguments] in this process. */
        fun of(vararg arguments: String): CommandRun {
            val out = StringWriter()
            val err = StringWriter()
            val commandLine = operatorCommandLine().setOut(PrintWriter(out, true)).setErr(PrintWriter(err, true))
            return CommandRun(commandLine.execute(*arguments), out.toString(), err.toString())
        }
    }
}
