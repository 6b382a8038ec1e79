package org.poplarshift.standins.worker

import org.poplarshift.standins.PlatformHeaders

/**
 * A response of a worker and its bytes in any form.
 *
 * @property headers lines of the head besides those of the request's id and of the framing
 * @property pieces the body, in the pieces in which it is written
 */
internal class WorkerResponse(
    val status: Int,
    val requestId: String?,
    private val headers: String,
    private val pieces: List<String>,
    private val isStream: Boolean,
) {
    /** The whole body. */
    val body: String
        get() = pieces.joinToString("")

    /** The same response with another status. */
    fun withStatus(status: Int) = WorkerResponse(status, requestId, headers, pieces, isStream)

    /** The bytes in the form [form], cut to its extent. */
    fun text(form: ResponseForm): String {
        val whole = parts(form).joinToString("")
        val head = whole.substringBefore(HEAD_END) + HEAD_END
        return when (val extent = form.extent) {
            ResponseForm.Extent.Whole -> whole
            is ResponseForm.Extent.HeadBytes -> head.take(1 + (extent.share * (head.length - 1)).toInt())
            is ResponseForm.Extent.HeadLines -> {
                val lines = head.removeSuffix(HEAD_END).split(LINE_END)
                lines.take(1 + (extent.share * lines.size).toInt()).joinToString("") { it + LINE_END }
            }

            is ResponseForm.Extent.BodyBytes -> head + whole.drop(head.length).let {
                it.take((extent.share * it.length).toInt())
            }
        }
    }

    /** The bytes of the whole response, in the parts between which a worker pauses. */
    fun parts(form: ResponseForm): List<String> {
        val framing = framing(form)
        val framed = if (framing == ResponseForm.Framing.CHUNKS) pieces.map(::chunk) + LAST_CHUNK else pieces
        val head = head(framing, form.hasId)
        return if (isStream) listOf(head) + framed else listOf(head + framed.joinToString(""))
    }

    /** What shows the end of the body in the form [form]. */
    fun framing(form: ResponseForm): ResponseForm.Framing =
        form.framing ?: if (isStream) ResponseForm.Framing.CHUNKS else ResponseForm.Framing.LENGTH

    private fun head(framing: ResponseForm.Framing, hasId: Boolean): String = buildString {
        append("HTTP/1.1 $status Status$LINE_END")
        if (hasId && requestId != null) append("${PlatformHeaders.REQUEST_ID}: $requestId$LINE_END")
        append(headers)
        if (isStream) append("Content-Type: text/event-stream$LINE_END")
        when (framing) {
            ResponseForm.Framing.LENGTH -> append("Content-Length: ${body.length}$LINE_END")
            ResponseForm.Framing.CHUNKS -> append("Transfer-Encoding: chunked$LINE_END")
            ResponseForm.Framing.CLOSE -> Unit
        }
        append(LINE_END)
    }

    private companion object {
        const val LINE_END = "\r\n"
        const val HEAD_END = "\r\n\r\n"
        const val LAST_CHUNK = "0\r\n\r\n"

        fun chunk(text: String) = "${Integer.toHexString(text.length)}\r\n$text\r\n"
    }
}
