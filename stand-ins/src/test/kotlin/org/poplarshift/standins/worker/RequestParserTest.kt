package org.poplarshift.standins.worker

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import io.vertx.core.buffer.Buffer

/** Guards against workers that read other bodies than the callers sent, or mistake body bytes for the next request. */
class RequestParserTest :
    FunSpec({
        data class Case(val name: String, val bytes: String, val bodies: List<String>)

        val chunked = "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"

        context("requests are read however their bytes are split") {
            withData(
                nameFn = { it.name },
                Case("without a body", "GET /x HTTP/1.1\r\nHost: h\r\n\r\n", listOf("")),
                Case("with a length", "POST /x HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc", listOf("abc")),
                Case("in one chunk", "${chunked}3\r\nabc\r\n0\r\n\r\n", listOf("abc")),
                Case("in chunks", "${chunked}a\r\n0123456789\r\n2\r\nab\r\n0\r\n\r\n", listOf("0123456789ab")),
                Case("in no chunk", "${chunked}0\r\n\r\n", listOf("")),
                Case("with a chunk extension", "${chunked}3;x=1\r\nabc\r\n0\r\n\r\n", listOf("abc")),
                Case("with trailers", "${chunked}3\r\nabc\r\n0\r\nA: b\r\n\r\n", listOf("abc")),
                Case("with line ends in a chunk", "${chunked}4\r\n\r\n\r\n\r\n0\r\n\r\n", listOf("\r\n\r\n")),
                Case(
                    "one after the other",
                    "${chunked}1\r\na\r\n0\r\n\r\nGET /x HTTP/1.1\r\n\r\n${chunked}1\r\nb\r\n0\r\n\r\n",
                    listOf("a", "", "b"),
                ),
            ) { case ->
                for (cut in 0..case.bytes.length) {
                    val parser = RequestParser()
                    val parts = listOf(case.bytes.take(cut), case.bytes.drop(cut))
                    val requests = parts.flatMap { parser.add(Buffer.buffer(it)) }
                    requests.map { it.body.decodeToString() } shouldBe case.bodies
                    requests.map { it.uri }.distinct() shouldBe listOf("/x")
                }
            }
        }
    })
