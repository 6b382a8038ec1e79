package org.poplarshift.node.forward

import io.vertx.core.http.HttpConnection
import org.poplarshift.serving.MonotonicClock
import java.util.WeakHashMap

/**
 * Finds pooled connections that have probably gone silent.
 *
 * When a path to a worker breaks silently, all connections of the pool are dead at once while new ones work. After a
 * timeout on one of them, every connection to the worker that was established before is not used again; otherwise each
 * of them would cost a request the whole timeout.
 */
internal class SuspectConnections(private val clock: MonotonicClock) {
    private val established = WeakHashMap<HttpConnection, Long>()
    private val timedOut = HashMap<String, Long>()

    /** Notes a new connection. */
    fun onConnected(connection: HttpConnection) {
        established[connection] = clock.millis()
    }

    /** Notes a timeout of a request to the worker at [address]. */
    fun onTimeout(address: String) {
        timedOut[address] = clock.millis()
    }

    /** Whether [connection] to the worker at [address] is older than the worker's newest timeout. */
    fun isSuspect(connection: HttpConnection, address: String): Boolean {
        val timeoutMillis = timedOut[address] ?: return false
        val establishedMillis = established[connection] ?: return false
        return establishedMillis <= timeoutMillis
    }
}
