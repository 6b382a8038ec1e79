package org.poplarshift.operator

/** Ends a command with [exitCode] after its message is printed for the user. */
class OperatorException(message: String, val exitCode: Int = ExitCode.FAILED, cause: Throwable? = null) :
    RuntimeException(message, cause)

/** The exit codes of the program. */
object ExitCode {
    const val DONE = 0
    const val FAILED = 1
    const val USAGE = 2
    const val SUPERSEDED = 3
}
