package org.poplarshift.node.caller

import io.vertx.core.MultiMap
import io.vertx.core.buffer.Buffer

/** Keeps a copy of a response of at most [limitBytes] for the request ledger. */
class ResponseRecorder(private val limitBytes: Int) {
    private var status = 0
    private var contentType = ""
    private var body = Buffer.buffer()
    private var isTooLarge = false

    /** Begins a new response. */
    fun start(status: Int, headers: MultiMap) {
        this.status = status
        contentType = headers.get("Content-Type").orEmpty()
        body = Buffer.buffer()
        isTooLarge = false
    }

    /** Adds a part of the body. */
    fun write(chunk: Buffer) {
        isTooLarge = isTooLarge || body.length() + chunk.length() > limitBytes
        if (!isTooLarge) body.appendBuffer(chunk)
    }

    /** The response, or null when its body is too large to be recorded. */
    fun recorded(): RecordedResponse? = if (isTooLarge) null else RecordedResponse(status, contentType, body.toString())
}

/** A complete response. */
data class RecordedResponse(val status: Int, val contentType: String, val body: String)
