package org.poplarshift.standins.worker

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe

/** Guards against forms of responses that are not what they are called: a soak would find nothing with them. */
class WorkerResponseTest :
    FunSpec({
        data class Case(val form: ResponseForm, val isStream: Boolean, val expected: String)

        val success = ResponseForm(ResponseForm.Content.SUCCESS)
        val chunks = ResponseForm.Framing.CHUNKS
        val close = ResponseForm.Framing.CLOSE
        val status = "HTTP/1.1 200 Status\r\n"
        val id = "X-Poplarshift-Request-Id: r\r\n"
        val length = "Content-Length: 4\r\n"
        val stream = "Content-Type: text/event-stream\r\n"
        val inChunks = "Transfer-Encoding: chunked\r\n"

        context("a response has the bytes of its form") {
            withData(
                nameFn = { "${it.form}, stream ${it.isStream}" },
                Case(success, false, "$status${id}A: b\r\n$length\r\nabcd"),
                Case(success.copy(hasId = false), false, "${status}A: b\r\n$length\r\nabcd"),
                Case(
                    success.copy(framing = chunks),
                    false,
                    "$status${id}A: b\r\n$inChunks\r\n2\r\nab\r\n2\r\ncd\r\n0\r\n\r\n",
                ),
                Case(success.copy(framing = close), false, "$status${id}A: b\r\n\r\nabcd"),
                Case(success, true, "$status${id}A: b\r\n$stream$inChunks\r\n2\r\nab\r\n2\r\ncd\r\n0\r\n\r\n"),
                Case(success.copy(framing = close), true, "$status${id}A: b\r\n$stream\r\nabcd"),
                Case(success.copy(extent = ResponseForm.Extent.HeadBytes(0.0)), false, "H"),
                Case(
                    success.copy(hasId = false, extent = ResponseForm.Extent.HeadBytes(0.3)),
                    false,
                    "HTTP/1.1 200 St",
                ),
                Case(success.copy(extent = ResponseForm.Extent.HeadLines(0.0)), false, status),
                Case(success.copy(extent = ResponseForm.Extent.HeadLines(0.3)), false, "$status$id"),
                Case(success.copy(extent = ResponseForm.Extent.HeadLines(0.99)), false, "$status${id}A: b\r\n$length"),
                Case(
                    success.copy(extent = ResponseForm.Extent.BodyBytes(0.5)),
                    false,
                    "$status${id}A: b\r\n$length\r\nab",
                ),
            ) { case ->
                val response = WorkerResponse(200, "r", "A: b\r\n", listOf("ab", "cd"), case.isStream)
                response.text(case.form) shouldBe case.expected
            }
        }
    })
