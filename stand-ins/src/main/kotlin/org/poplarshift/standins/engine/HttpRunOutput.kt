package org.poplarshift.standins.engine

import io.vertx.ext.web.RoutingContext
import org.poplarshift.standins.http.RunRecorder

/**
 * Writes the output of a run to the HTTP response, as a stream or as a single response.
 *
 * @param echoedId the value of `X-Request-Id` in the response; that of another request if responses are crossed
 * @param isSilent whether the connection is silenced, so that nothing may be written to it
 */
internal class HttpRunOutput(
    private val context: RoutingContext,
    private val request: CompletionRequest,
    private val echoedId: String,
    private val faults: EngineFaults,
    private val recorder: RunRecorder,
    private val isSilent: () -> Boolean,
) : RunOutput {
    private val response = context.response()
    private val formatter = ResponseFormatter(echoedId, request, isChat = context.request().path().contains("/chat/"))
    private val text = StringBuilder()

    override fun onToken(run: EngineRun, text: String) {
        this.text.append(text)
        if (isWritable(run) && request.stream) {
            if (!response.headWritten()) startResponseStream()
            response.write(formatter.tokenChunk(run.generatedTokens - 1, text))
        }
        if (run.generatedTokens == faults.cutAfterTokens) context.request().connection().close()
    }

    override fun onFinished(run: EngineRun) {
        recorder.recordFinish(run.requestId)
        if (!isWritable(run)) return
        if (request.stream) response.end(formatter.finalChunks(run)) else end(formatter.complete(run, text.toString()))
    }

    override fun onCancelled(run: EngineRun) {
        if (isSilent() || response.ended() || response.closed()) return
        // Closing the connection without the final chunk prevents a cancelled stream from looking complete.
        if (response.headWritten()) context.request().connection().close() else end(CANCELLED, status = 499)
    }

    private fun isWritable(run: EngineRun): Boolean {
        val silentFrom = faults.silentAfterTokens ?: Int.MAX_VALUE
        return run.generatedTokens <= silentFrom && !isSilent() && !response.ended() && !response.closed()
    }

    private fun startResponseStream() {
        response.putHeader("X-Request-Id", echoedId).putHeader("Content-Type", "text/event-stream")
        response.setChunked(true)
    }

    private fun end(body: String, status: Int = 200) {
        response.setStatusCode(status)
        response.putHeader("X-Request-Id", echoedId).putHeader("Content-Type", "application/json")
        response.end(body)
    }

    private companion object {
        const val CANCELLED = """{"error":{"message":"cancelled","type":"cancelled"}}"""
    }
}
