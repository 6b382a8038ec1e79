package org.poplarshift.serving.forward

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.vertx.core.buffer.Buffer
import org.poplarshift.serving.fixture.PlainWorkerProtocol
import org.poplarshift.serving.fixture.RawRequest
import org.poplarshift.serving.fixture.RawResponses.error
import kotlin.system.measureTimeMillis

/**
 * Guards against a finder that misses a head because of the borders of segments, that keeps a large part of a body, or
 * whose time grows faster than the body.
 */
class SecondResponseFinderTest :
    FunSpec({
        fun buffer(text: String) = Buffer.buffer(text, "ISO-8859-1")
        val second = error(RawRequest("b-1", "", 0, 0, null), 500)

        data class Case(val name: String, val body: String, val second: String)
        val unnamed = second.replace("Id: b-1\r\n", "")
        val cases = listOf(
            Case("behind text", "good", second),
            Case("behind a line", "good\r\n", second),
            Case("behind a line feed", "good\n", second),
            Case("behind a part of another status line", "good HTTP/1", second),
            Case("behind a status line without headers", "HTTP/1.1 200 OK\r\n\r\n", second),
            Case("behind a version and a letter", "It speaks HTTP/1.1x", second),
            Case("at the beginning of the body", "", second),
            Case("without an id behind text", "good", unnamed),
            Case("without an id behind an object", "{\"a\":1}", unnamed),
            Case("without an id behind a semicolon", "good;", unnamed),
            Case("without an id behind a question mark", "good?", unnamed),
        )
        cases.forEach { case ->
            test("a head ${case.name} is found across any border between two segments") {
                val text = case.body + case.second
                for (border in 0..text.length) {
                    val finder = SecondResponseFinder(PlainWorkerProtocol, endsWithConnection = true) { false }
                    val first = finder.add(buffer(text.take(border)))
                    val found = first ?: finder.add(buffer(text.drop(border)))
                    val offset = if (first == null) maxOf(0, case.body.length - border) else case.body.length
                    withClue("border at $border") { found.shouldNotBeNull().ownBytes shouldBe offset }
                }
            }
        }

        val quotations = listOf(
            "$unnamed\r\nas it was down.",
            "The server wrote:\r\n$unnamed",
            "It wrote \"$unnamed\".",
            "good" + second.replace("\r\n", "\n"),
            second.lines().joinToString("\r\n") { "> $it" },
            "It speaks HTTP/1.1",
            "The server wrote:$unnamed",
            "status=$unnamed",
        )
        quotations.forEachIndexed { index, text ->
            test("quotation $index is a part of the body across any border between two segments") {
                for (border in 0..text.length) {
                    val finder = SecondResponseFinder(PlainWorkerProtocol, endsWithConnection = true) { false }
                    withClue("border at $border") {
                        finder.add(buffer(text.take(border))) shouldBe null
                        finder.add(buffer(text.drop(border))) shouldBe null
                        finder.end(isFollowed = false) shouldBe null
                    }
                }
            }
        }

        val blockBytes = 64 * 1024
        val bodies = mapOf(
            "letters" to "H",
            "beginnings of a status line" to "HTTP/1.",
            "status lines without an end" to "HTTP/1.1 200 x",
            "status lines" to "HTTP/1.1 200 OK\r\n",
            "status lines of text" to "HTTP/1.1 200 OK HTTP/1.1 200 OK\n",
            "long lines of status lines" to "HTTP/1.1 200 OK ".repeat(4_000) + "\n",
            "quoted heads" to "HTTP/1.1 200 OK\r\nServer: x\r\n\r\n",
            "headers without an end" to "HTTP/1.1 200 OK\r\n" + "Server: x\r\n".repeat(6_000),
            "line ends" to "\r\n",
        )
        bodies.forEach { (name, unit) ->
            test("a large body of $name is read with bounded memory and in a bounded time") {
                val text = unit.repeat(maxOf(1, LARGE_BYTES / unit.length))
                val blocks = text.chunked(blockBytes).map { buffer(it) }
                val finder = SecondResponseFinder(PlainWorkerProtocol, endsWithConnection = true) { false }
                val millis = measureTimeMillis {
                    for (block in blocks) {
                        finder.add(block) shouldBe null
                        finder.keptBytes shouldBeLessThanOrEqual SecondResponseFinder.MAXIMUM_HEAD_BYTES
                    }
                }
                millis shouldBeLessThan MAXIMUM_MILLIS
            }
        }
    }) {
    private companion object {
        const val LARGE_BYTES = 8 * 1024 * 1024

        // Reading takes well under a second. A time that grows with the square of the size is many minutes.
        const val MAXIMUM_MILLIS = 10_000L
    }
}
