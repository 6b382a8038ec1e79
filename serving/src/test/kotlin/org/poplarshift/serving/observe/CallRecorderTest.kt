package org.poplarshift.serving.observe

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.read.ListAppender
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import org.poplarshift.serving.ingress.CallerRequestHead
import org.slf4j.LoggerFactory

/** Guards against logs that grow with the load, and against dropping lines of failed calls because of served ones. */
class CallRecorderTest :
    FunSpec({
        test("lines of served calls are limited per second, those of failed calls are kept, all calls are counted") {
            val logger = LoggerFactory.getLogger(CallRecorder::class.java) as Logger
            val appender = ListAppender<ILoggingEvent>().apply { start() }
            logger.level = Level.INFO
            logger.addAppender(appender)
            val registry = SimpleMeterRegistry()
            val recorder = CallRecorder(registry)

            fun finish(outcome: String, status: Int, nowMillis: Long) {
                val head =
                    CallerRequestHead("id", key = null, "host", "/path", timeoutMillis = null, resumeAfter = null)
                val record = CallRecord(head, "GET", receivedMillis = nowMillis).apply { end(outcome) }
                recorder.finish(record, status, nowMillis)
            }
            repeat(1_000) { finish("delivered", 200, nowMillis = 5_000) }
            repeat(100) { finish("no_room", 503, nowMillis = 5_500) }
            finish("delivered", 200, nowMillis = 6_000)
            appender.list.count { it.level == Level.INFO } shouldBe 41
            appender.list.count { it.level == Level.WARN } shouldBe 100
            val dropped = appender.list.flatMap { it.keyValuePairs }.filter { it.key == "lines_dropped" }
            dropped.sumOf { it.value as Long } shouldBe 960L
            registry.counter("calls", "route", "none", "outcome", "delivered").count() shouldBe 1_001.0
            logger.detachAppender(appender)
        }
    })
