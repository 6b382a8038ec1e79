package org.poplarshift.standins.worker

import io.vertx.core.Vertx
import org.poplarshift.standins.PlatformHeaders

/** Writes the response of one run. */
internal class RunResponse(
    private val vertx: Vertx,
    private val connection: WorkerConnection,
    private val run: WorkerRun,
    private val isEngine: Boolean,
    private val fault: ResponseFault,
    private val head: (status: Int, requestId: String?, headers: String) -> String,
    private val paceMillis: () -> Long,
) {
    private val stampHeader = "${PlatformHeaders.STAMP}: ${run.stamp}\r\n"
    private var onEnd: () -> Unit = {}

    /** Writes the response and calls [onEnd] when the run has ended. */
    fun send(onEnd: () -> Unit) {
        this.onEnd = onEnd
        after(paceMillis()) { start() }
    }

    private fun start() {
        when (fault) {
            ResponseFault.None, ResponseFault.Refusal, is ResponseFault.Repeated, is ResponseFault.Fragment ->
                if (isEngine) sendStream() else sendPlain()

            is ResponseFault.Failure -> {
                val body = "failure of ${run.requestId}"
                run.status = fault.status
                finish(head(fault.status, run.requestId, "${stampHeader}Content-Length: ${body.length}\r\n") + body)
            }

            ResponseFault.Lost -> close(isReset = false)
            ResponseFault.Silence -> after(SILENCE_MILLIS) { close(isReset = false) }
            is ResponseFault.Cut -> sendCut(fault)
            ResponseFault.Unframed -> {
                run.status = OK
                connection.write(head(OK, run.requestId, stampHeader) + body())
                run.isComplete = true
                close(isReset = false)
            }
        }
    }

    private fun body(): String = if (isEngine) {
        ResponseContent.eventsAfter(run.requestId, run.resumeAfter)
    } else {
        ResponseContent.plain(run.requestId)
    }

    private fun sendPlain() {
        run.status = OK
        run.isComplete = true
        finish(plainResponse(run.requestId))
    }

    private fun plainResponse(requestId: String?): String {
        val body = body()
        return head(OK, requestId, "${stampHeader}Content-Length: ${body.length}\r\n") + body
    }

    private fun sendStream() {
        run.status = OK
        connection.write(head(OK, run.requestId, STREAM_HEADERS + stampHeader))
        sendEvent(run.resumeAfter + 1)
    }

    private fun sendEvent(number: Int) {
        if (!connection.isOpen) return onEnd()
        if (number > ResponseContent.eventCount(run.requestId)) {
            run.isComplete = true
            finish(LAST_CHUNK)
        } else {
            connection.write(chunk(ResponseContent.event(run.requestId, number)))
            after(paceMillis()) { sendEvent(number + 1) }
        }
    }

    private fun sendCut(cut: ResponseFault.Cut) {
        run.status = OK
        val whole = if (isEngine) {
            head(OK, run.requestId, STREAM_HEADERS + stampHeader) + chunk(body())
        } else {
            plainResponse(run.requestId)
        }
        val headBytes = whole.indexOf("\r\n\r\n")
        connection.write(whole.substring(0, if (cut.isInHead) headBytes / 2 else (headBytes + whole.length) / 2))
        after(1) { close(cut.isReset) }
    }

    private fun finish(response: String) {
        when (fault) {
            is ResponseFault.Repeated -> finish(response, fault.moment, copy(fault))
            is ResponseFault.Fragment -> finish(response, fault.moment, "HTTP/1.1 200 OK\r\n${stampHeader}X-Other: ")
            else -> connection.write(response)
        }
        onEnd()
    }

    private fun finish(response: String, moment: ResponseFault.Moment, following: String) {
        if (moment == ResponseFault.Moment.AT_ONCE) {
            connection.write(response + following)
        } else {
            connection.write(response)
            after(IDLE_MILLIS) { connection.writeAt(moment, following) }
        }
    }

    private fun copy(repeated: ResponseFault.Repeated): String = if (isEngine) {
        head(OK, idOfCopy(repeated), STREAM_HEADERS + stampHeader) + chunk(body()) + LAST_CHUNK
    } else {
        plainResponse(idOfCopy(repeated))
    }

    private fun idOfCopy(repeated: ResponseFault.Repeated): String? = run.requestId.takeIf { repeated.hasId }

    private fun close(isReset: Boolean) {
        connection.close(isReset)
        onEnd()
    }

    private fun chunk(text: String) = "${Integer.toHexString(text.length)}\r\n$text\r\n"

    private fun after(millis: Long, action: () -> Unit) {
        vertx.setTimer(maxOf(1, millis)) { action() }
    }

    private companion object {
        const val OK = 200
        const val IDLE_MILLIS = 4L
        const val SILENCE_MILLIS = 8_000L
        const val STREAM_HEADERS = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
        const val LAST_CHUNK = "0\r\n\r\n"
    }
}
