package org.poplarshift.node.caller

import io.vertx.core.MultiMap
import io.vertx.core.buffer.Buffer

/** Keeps a copy of a response for the request ledger if its body has at most [limitBytes]. */
class ResponseRecorder(private val limitBytes: Int) {
    private var status = 0
    private var contentType = ""
    private var body = Buffer.buffer()
    private var isTooLarge = false

    /** Starts a new response and discards the previous one. */
    fun start(status: Int, headers: MultiMap) {
        this.status = status
        contentType = headers.get("Content-Type").orEmpty()
        body = Buffer.buffer()
        isTooLarge = false
    }

    /** Appends [chunk] to the body. */
    fun write(chunk: Buffer) {
        isTooLarge = isTooLarge || body.length() + chunk.length() > limitBytes
        if (!isTooLarge) body.appendBuffer(chunk)
    }

    /** Returns the response, or null if its body is too large to be recorded. */
    fun recorded(): RecordedResponse? = if (isTooLarge) null else RecordedResponse(status, contentType, body.toString())
}

/** A complete response as the request ledger stores it. */
data class RecordedResponse(val status: Int, val contentType: String, val body: String)
