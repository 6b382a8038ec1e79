package org.poplarshift.standins

/** A server that plays a part of the outside world. It can run in a test's process or in a process of its own. */
interface StandIn {
    /** What the server is, for the log, such as `engine w1`. */
    val name: String

    /** The port that the server listens on; known after [start]. */
    val port: Int

    /** Starts to listen. */
    suspend fun start()

    /** Closes the listener and all its connections. */
    suspend fun stop()
}
