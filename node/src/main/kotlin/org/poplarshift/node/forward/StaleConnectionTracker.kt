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
internal class StaleConnectionTracker(private val clock: MonotonicClock) {
    private val connectMillisByConnection = WeakHashMap<HttpConnection, Long>()
    private val timeoutMillisByAddress = HashMap<String, Long>()

    /** Notes a new connection. */
    fun onConnected(connection: HttpConnection) {
        connectMillisByConnection[connection] = clock.millis()
    }

    /** Notes a timeout of a request to the worker at [address]. */
    fun onTimeout(address: String) {
        timeoutMillisByAddress[address] = clock.millis()
    }

    /** Whether [connection] to the worker at [address] is older than the worker's newest timeout. */
    fun isStale(connection: HttpConnection, address: String): Boolean {
        val timeoutMillis = timeoutMillisByAddress[address] ?: return false
        val establishedMillis = connectMillisByConnection[connection] ?: return false
        return establishedMillis <= timeoutMillis
    }
}
