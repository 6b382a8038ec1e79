package org.poplarshift.node.forward

import io.github.oshai.kotlinlogging.KotlinLogging
import io.vertx.core.Vertx
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.PoolOptions
import io.vertx.ext.web.client.WebClient
import io.vertx.ext.web.client.WebClientOptions
import org.poplarshift.core.catalogue.Worker
import org.poplarshift.serving.http.SocketAddresses

/** Cancels streams at workers without waiting for the result, because a stopped worker runs no streams either. */
class StreamCanceller(vertx: Vertx, localHost: String) {
    private val client = WebClient.create(
        vertx,
        WebClientOptions().setConnectTimeout(TIMEOUT_MILLIS).setLocalAddress(localHost),
        PoolOptions().setHttp1MaxSize(CONNECTIONS_PER_WORKER),
    )

    /** Cancels the stream [requestId] at [worker]. */
    fun cancel(worker: Worker, requestId: String) {
        val socket = SocketAddresses.parse(worker.address)
        client
            .request(HttpMethod.DELETE, socket.port(), socket.host(), "/streams/$requestId")
            .timeout(TIMEOUT_MILLIS.toLong())
            .send()
            .onFailure { log.debug { "forward: failed to cancel stream $requestId at ${worker.id}: ${it.message}" } }
    }

    private companion object {
        val log = KotlinLogging.logger {}
        const val TIMEOUT_MILLIS = 1_000

        // Batch jobs cancel several streams of a worker at once and must free its capacity within 100 ms.
        const val CONNECTIONS_PER_WORKER = 32
    }
}
