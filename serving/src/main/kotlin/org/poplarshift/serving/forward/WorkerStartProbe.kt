package org.poplarshift.serving.forward

import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.vertx.core.buffer.Buffer
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull

/** Asks the worker behind [connection] when it was started. */
internal class WorkerStartProbe(private val connection: WorkerConnection, private val protocol: WorkerProtocol) {
    /** The worker's answer. */
    sealed interface Answer {
        /** The worker was started at [startedMillis], in Unix milliseconds. */
        data class Stated(val startedMillis: Long) : Answer

        /** The response is complete and states no start. */
        data class NotStated(val reason: String, val isReusable: Boolean) : Answer

        /** There is no complete response. */
        data class Missing(val reason: String) : Answer
    }

    private val answer = CompletableDeferred<Answer>()

    /** Sends [request] and waits up to [timeoutMillis] for the whole response. */
    suspend fun send(request: OutgoingRequest, timeoutMillis: Long): Answer {
        connection.send(request, Receiver())
        return withTimeoutOrNull(timeoutMillis) { answer.await() } ?: Answer.Missing("silent")
    }

    private inner class Receiver : ResponseReceiver {
        private val body = Buffer.buffer()
        private var status = 0
        private var isReusable = false

        override fun onInterim(response: HttpResponse) = Unit

        override fun onHead(response: HttpResponse) {
            status = response.status().code()
            val isFramed = HttpUtil.isTransferEncodingChunked(response) || HttpUtil.isContentLengthSet(response)
            isReusable = isFramed && HttpUtil.isKeepAlive(response)
        }

        override fun onBody(bytes: Buffer) {
            if (body.length() + bytes.length() > MAXIMUM_BYTES) {
                answer.complete(Answer.Missing("a response of over $MAXIMUM_BYTES bytes"))
            } else {
                body.appendBuffer(bytes)
            }
        }

        override fun onEnd() {
            val startedMillis = if (status == OK) protocol.readStart(body.bytes) else null
            answer.complete(
                startedMillis?.let { Answer.Stated(it) } ?: Answer.NotStated("status $status", isReusable),
            )
        }

        override fun onMalformed(reason: String) {
            answer.complete(Answer.Missing(reason))
        }

        override fun onLost(reason: String) {
            answer.complete(Answer.Missing(reason))
        }
    }

    private companion object {
        const val OK = 200
        const val MAXIMUM_BYTES = 1_048_576
    }
}
