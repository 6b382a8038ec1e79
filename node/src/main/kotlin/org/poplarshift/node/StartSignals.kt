package org.poplarshift.node

import picocli.CommandLine
import sun.misc.Signal
import sun.misc.SignalHandler

/**
 * Handles signals that the program receives before it serves.
 *
 * Otherwise the JVM would end with 129 after SIGHUP, and with 143 after SIGTERM until a shutdown hook is added.
 */
internal object StartSignals {
    private val terminate = Signal("TERM")
    private var usualHandler: SignalHandler? = null

    /** Ignores SIGHUP, and ends the program with 0 after SIGTERM, because there is nothing to shut down yet. */
    fun handle() {
        // Not SIG_IGN, which the JVM lets nothing replace.
        Signal.handle(Signal("HUP")) {}
        usualHandler = Signal.handle(terminate) { Runtime.getRuntime().halt(CommandLine.ExitCode.OK) }
    }

    /** Lets SIGTERM run the shutdown hooks from now on. */
    fun runShutdownHooks() {
        usualHandler?.let { Signal.handle(terminate, it) }
    }
}
