package org.poplarshift.standins

/** A server that simulates an external system. It runs inside a test process or as a separate process. */
interface StandIn {
    /** The name of the server in log output, such as `engine w1`. */
    val name: String

    /** The port that the server listens on. A port picked by the system is available after [start]. */
    val port: Int

    /** Starts the listener and returns when it accepts connections. */
    suspend fun start()

    /** Closes the listener and all its connections. */
    suspend fun stop()
}
