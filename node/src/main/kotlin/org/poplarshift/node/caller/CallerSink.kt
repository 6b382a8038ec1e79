package org.poplarshift.node.caller

import io.vertx.core.MultiMap
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpServerResponse
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import org.poplarshift.node.forward.ResponseSink
import org.poplarshift.serving.http.HopByHopHeaders

/**
 * Forwards a response to the caller.
 *
 * The head is written with the first part of the body, so that a response that fails before it can be replaced by that
 * of another attempt.
 *
 * @param idleMillis how long the caller may read nothing of the response before [onStalled] is called
 * @param recorder keeps a copy of the response when it must be recorded
 */
class CallerSink(
    private val response: HttpServerResponse,
    private val requestId: String,
    private val idleMillis: Long,
    private val recorder: ResponseRecorder? = null,
    private val onStalled: () -> Unit = {},
    private val onFirstByte: () -> Unit = {},
) : ResponseSink {
    private var copiedHeaders = emptySet<String>()
    private var isCallerDisconnected = false
    private var drained: CompletableDeferred<Unit>? = null

    /** Whether the caller has received any byte of a response. */
    val hasForwardedBytes: Boolean get() = response.headWritten()

    override suspend fun start(status: Int, headers: MultiMap) {
        reset()
        response.statusCode = status
        val forwardedHeaders = HopByHopHeaders.remove(headers, OWN_HEADERS)
        for ((name, value) in forwardedHeaders) response.headers().add(name, value)
        copiedHeaders = forwardedHeaders.names()
        response.putHeader("X-Request-Id", requestId)
        response.isChunked = !forwardedHeaders.contains("Content-Length")
        recorder?.start(status, headers)
    }

    override suspend fun write(chunk: Buffer) {
        recorder?.write(chunk)
        if (isDisconnected()) return
        if (!response.headWritten()) onFirstByte()
        response.write(chunk)
        if (response.writeQueueFull()) awaitDrain()
    }

    override suspend fun end() {
        if (isDisconnected()) return
        if (!response.headWritten()) onFirstByte()
        response.end()
    }

    /** Removes the headers of an attempt that failed before any part of the body was written. */
    fun reset() {
        if (response.headWritten()) return
        copiedHeaders.forEach { response.headers().remove(it) }
        response.isChunked = false
        copiedHeaders = emptySet()
    }

    /** Stops writing because the caller has closed its connection. */
    fun onCallerDisconnected() {
        isCallerDisconnected = true
        drained?.complete(Unit)
    }

    private fun isDisconnected(): Boolean = isCallerDisconnected || response.closed()

    private suspend fun awaitDrain() {
        val pending = CompletableDeferred<Unit>()
        drained = pending
        response.drainHandler { pending.complete(Unit) }
        if (withTimeoutOrNull(idleMillis) { pending.await() } != null) return
        onStalled()
        pending.await()
    }

    private companion object {
        val OWN_HEADERS = setOf("x-request-id")
    }
}
