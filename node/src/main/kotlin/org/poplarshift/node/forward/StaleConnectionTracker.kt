package org.poplarshift.node.forward

import io.vertx.core.http.HttpConnection
import org.poplarshift.serving.MonotonicClock
import java.util.WeakHashMap

/**
 * Identifies pooled connections that have probably become unresponsive.
 *
 * When the network path to a worker fails without a reset, all pooled connections are dead while new ones work. After
 * a timeout on one of them, all connections to the worker that were established before it are discarded. Otherwise
 * each of them would cost one request the full timeout.
 */
internal class StaleConnectionTracker(private val clock: MonotonicClock) {
    private val connectMillisByConnection = WeakHashMap<HttpConnection, Long>()
    private val timeoutMillisByAddress = HashMap<String, Long>()

    /** Records the time at which [connection] was established. */
    fun onConnected(connection: HttpConnection) {
        connectMillisByConnection[connection] = clock.millis()
    }

    /** Records that a request to the worker at [address] timed out. */
    fun onTimeout(address: String) {
        timeoutMillisByAddress[address] = clock.millis()
    }

    /** Whether [connection] was established no later than the last timeout of the worker at [address]. */
    fun isStale(connection: HttpConnection, address: String): Boolean {
        val timeoutMillis = timeoutMillisByAddress[address] ?: return false
        val establishedMillis = connectMillisByConnection[connection] ?: return false
        return establishedMillis <= timeoutMillis
    }
}
