package org.poplarshift.serving.observe

/** Kinds of log lines of calls, of which at most [linesPerSecond] are written per second. */
internal enum class CallLineKind(val linesPerSecond: Int) {
    /** A node of the planned fleet serves 20 requests a second. Logging ten times that would cost over 3% of a core. */
    SERVED(linesPerSecond = 40),

    /** Apart from the other kinds, so that neither many served nor many refused calls hide a faulty worker. */
    UNUSABLE_RESPONSE(linesPerSecond = 100),

    NOT_SERVED(linesPerSecond = 200),
}
