package org.poplarshift.node

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.encoder.PatternLayoutEncoder
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.classic.util.LogbackMDCAdapter
import ch.qos.logback.core.OutputStreamAppender
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import java.io.PipedInputStream
import java.io.PipedOutputStream
import kotlin.system.measureTimeMillis

/** Guards against a stalled reader of the log output that blocks requests, as a full pipe does. */
class CountingAsyncAppenderTest :
    FunSpec({
        class Output(readerBytes: Int) {
            val reader = PipedInputStream(readerBytes)
            private val context = LoggerContext().also { it.mdcAdapter = LogbackMDCAdapter() }
            private val writer = OutputStreamAppender<ILoggingEvent>().also {
                it.context = context
                it.encoder = PatternLayoutEncoder().also { encoder ->
                    encoder.context = context
                    encoder.pattern = "%level %msg%n"
                    encoder.start()
                }
                it.outputStream = PipedOutputStream(reader)
                it.start()
            }
            val logger = context.getLogger("test").also { logger ->
                logger.level = Level.INFO
                logger.addAppender(
                    CountingAsyncAppender().also {
                        it.context = context
                        it.queueSize = QUEUE_SIZE
                        it.isNeverBlock = true
                        it.addAppender(writer)
                        it.start()
                    },
                )
            }
        }

        test("a full pipe drops lines, which are counted, and does not block the caller") {
            val output = Output(readerBytes = 64)
            val before = CountingAsyncAppender.dropped
            val millis = measureTimeMillis { repeat(LINE_COUNT) { output.logger.info("line $it") } }
            // An event loop that waited for the reader would be blocked permanently.
            millis shouldBeLessThan 1_000
            val dropped = CountingAsyncAppender.dropped - before
            // The writing thread holds at most as many lines as the queue, and the queue as many again.
            dropped shouldBeGreaterThan LINE_COUNT - 2L * QUEUE_SIZE - 1
            // The free capacity of the queue is reserved for lines of failed requests.
            output.logger.warn("failed request")
            CountingAsyncAppender.dropped - before shouldBe dropped
            val text = StringBuilder()
            while (!text.contains("failed request")) text.append(output.reader.read().toChar())
            text.toString() shouldContain "WARN failed request"
        }
    }) {
    private companion object {
        const val QUEUE_SIZE = 100
        const val LINE_COUNT = 2_000
    }
}
