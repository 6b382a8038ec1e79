package org.poplarshift.serving.forward

/** Learns of connections to workers on which responses are late or missing. */
interface WorkerConnectionObserver {
    /** The response on [connection] takes unusually long to begin. */
    fun onSlow(connection: WorkerConnection)

    /** Nothing was received on [connection] in time, so that its request was given up. */
    fun onSilent(connection: WorkerConnection)

    /** Ignores everything. */
    object None : WorkerConnectionObserver {
        override fun onSlow(connection: WorkerConnection) = Unit

        override fun onSilent(connection: WorkerConnection) = Unit
    }
}
