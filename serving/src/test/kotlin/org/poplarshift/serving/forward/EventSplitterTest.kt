package org.poplarshift.serving.forward

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.vertx.core.buffer.Buffer
import kotlin.random.Random

/** Guards against incomplete events that reach a caller before the stream is resumed at another worker. */
class EventSplitterTest :
    FunSpec({
        val text = "id: 1\ndata: one\n\nid: 2\ndata: two\ndata: more\n\nid: 3\ndata: three\n\n"

        data class LineEnd(val name: String, val characters: String)
        val lineEnds = listOf(
            LineEnd("line feeds", "\n"),
            LineEnd("carriage returns and line feeds", "\r\n"),
            LineEnd("carriage returns", "\r"),
        )
        (1L..20L).flatMap { seed -> lineEnds.map { seed to it } }.forEach { (seed, lineEnd) ->
            test("events do not depend on how the bytes are split into chunks, ${lineEnd.name}, seed $seed") {
                val random = Random(seed)
                val stream = text.replace("\n", lineEnd.characters)
                val splitter = EventSplitter()
                val events = ArrayList<StreamEvent>()
                var position = 0
                while (position < stream.length) {
                    val end = minOf(stream.length, position + 1 + random.nextInt(12))
                    events += splitter.add(Buffer.buffer(stream.substring(position, end)))
                    position = end
                }
                splitter.end()?.let { events += it }
                events.map { it.id } shouldBe listOf(1L, 2L, 3L)
                events.map { it.data } shouldBe listOf("one", "two\nmore", "three")
                events.joinToString("") { it.bytes.toString() } shouldBe stream
                splitter.hasPartial shouldBe false
            }
        }

        test("an incomplete event is held back") {
            val splitter = EventSplitter()
            splitter.add(Buffer.buffer("id: 1\ndata: one\n\nid: 2\nda")).size shouldBe 1
            splitter.hasPartial shouldBe true
            splitter.add(Buffer.buffer("ta: 2\n\n")).map { it.bytes.toString() } shouldBe listOf("id: 2\ndata: 2\n\n")
            splitter.hasPartial shouldBe false
        }
    })
