package org.poplarshift.standins.worker

import io.vertx.core.Vertx
import org.poplarshift.standins.PlatformHeaders

/** Writes the response of one run, and what follows it. */
internal class RunResponse(
    private val vertx: Vertx,
    private val connection: WorkerConnection,
    private val run: WorkerRun,
    private val response: (WorkerConnection, WorkerRun, ResponseForm.Content) -> WorkerResponse,
    private val paceMillis: () -> Long,
) {
    private var onEnd: () -> Unit = {}

    /** Writes the response and calls [onEnd] when the run has ended. */
    fun send(onEnd: () -> Unit) {
        this.onEnd = onEnd
        after(paceMillis()) { start() }
    }

    private fun start() {
        when (val fault = run.fault) {
            ResponseFault.None, ResponseFault.Refusal -> respond(SUCCESS)
            is ResponseFault.Failure -> respond(ResponseForm(ResponseForm.Content.FAILURE), status = fault.status)
            ResponseFault.Lost -> close(isReset = false)
            ResponseFault.Silence -> after(SILENCE_MILLIS) { close(isReset = false) }
            is ResponseFault.Cut -> respond(SUCCESS.copy(extent = cutExtent(fault)), isReset = fault.isReset)
            is ResponseFault.Unframed ->
                respond(SUCCESS.copy(framing = ResponseForm.Framing.CLOSE), isReset = fault.isReset)

            is ResponseFault.Fragment -> respond(SUCCESS, Following(FRAGMENT.format(run.stamp), fault.moment))
            is ResponseFault.Twice -> {
                val second = response(connection, run, fault.second.content).text(fault.second)
                respond(fault.first, Following(second, fault.moment), fault.isReset)
            }
        }
    }

    private fun cutExtent(cut: ResponseFault.Cut): ResponseForm.Extent =
        if (cut.isInHead) ResponseForm.Extent.HeadBytes(HALF) else ResponseForm.Extent.BodyBytes(HALF)

    private fun respond(
        form: ResponseForm,
        following: Following? = null,
        isReset: Boolean = false,
        status: Int? = null,
    ) {
        val first = response(connection, run, form.content).let { if (status == null) it else it.withStatus(status) }
        val isWhole = form.extent == ResponseForm.Extent.Whole
        val isClosed = isReset || !isWhole || first.framing(form) == ResponseForm.Framing.CLOSE
        run.status = first.status
        run.body = first.body
        connection.remember(first)
        connection.isUnframed = first.framing(form) == ResponseForm.Framing.CLOSE
        val end = {
            run.isComplete = isWhole && !isReset && !(isClosed && following != null)
            onEnd()
            after(IDLE_MILLIS) { follow(following, isClosed, isReset) }
        }
        val parts = if (isWhole) first.parts(form) else listOf(first.text(form))
        write(parts.dropLast(1) + (parts.last() + following?.atOnce.orEmpty()), end)
    }

    private fun write(parts: List<String>, end: () -> Unit) {
        if (!connection.isOpen) return onEnd()
        connection.write(parts.first())
        if (parts.size == 1) end() else after(paceMillis()) { write(parts.drop(1), end) }
    }

    private fun follow(following: Following?, isClosed: Boolean, isReset: Boolean) {
        when {
            following == null || following.moment == ResponseFault.Moment.AT_ONCE -> Unit
            isClosed -> connection.write(following.text)
            else -> connection.writeAt(following.moment, following.text)
        }
        if (isClosed) connection.close(isReset)
    }

    private fun close(isReset: Boolean) {
        connection.close(isReset)
        onEnd()
    }

    private fun after(millis: Long, action: () -> Unit) {
        vertx.setTimer(maxOf(1, millis)) { action() }
    }

    /** Bytes that belong to no request. */
    private class Following(val text: String, val moment: ResponseFault.Moment) {
        val atOnce: String
            get() = text.takeIf { moment == ResponseFault.Moment.AT_ONCE }.orEmpty()
    }

    private companion object {
        val SUCCESS = ResponseForm(ResponseForm.Content.SUCCESS)
        const val HALF = 0.5
        const val IDLE_MILLIS = 4L
        const val SILENCE_MILLIS = 8_000L
        const val FRAGMENT = "HTTP/1.1 200 OK\r\n${PlatformHeaders.STAMP}: %s\r\nX-Other: "
    }
}
