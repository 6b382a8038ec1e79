package org.poplarshift.serving.observe

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.read.ListAppender
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import org.poplarshift.serving.ingress.CallerRequestHead
import org.slf4j.LoggerFactory

/** Guards against logs that grow with the load, and against dropping lines of failed calls because of served ones. */
class CallRecorderTest :
    FunSpec({
        fun record(registry: SimpleMeterRegistry = SimpleMeterRegistry(), calls: CallRecorder.() -> Unit) =
            ListAppender<ILoggingEvent>().apply {
                start()
                val logger = LoggerFactory.getLogger(CallRecorder::class.java) as Logger
                logger.level = Level.INFO
                logger.addAppender(this)
                CallRecorder(registry).calls()
                logger.detachAppender(this)
            }.list

        fun CallRecorder.finish(outcome: String, status: Int, nowMillis: Long, hasUnusableResponse: Boolean = false) {
            val head = CallerRequestHead("id", key = null, "host", "/path", timeoutMillis = null, resumeAfter = null)
            val record = CallRecord(head, "GET", receivedMillis = nowMillis)
            record.end(outcome)
            record.hasUnusableResponse = hasUnusableResponse
            finish(record, status, nowMillis)
        }

        test("lines of served calls are limited per second, those of failed calls are kept, all calls are counted") {
            val registry = SimpleMeterRegistry()
            val lines = record(registry) {
                repeat(1_000) { finish("delivered", 200, nowMillis = 5_000) }
                repeat(100) { finish("no_room", 503, nowMillis = 5_500) }
                finish("delivered", 200, nowMillis = 6_000)
            }
            lines.count { it.level == Level.INFO } shouldBe 41
            lines.count { it.level == Level.WARN } shouldBe 100
            val dropped = lines.flatMap { it.keyValuePairs }.filter { it.key == "lines_dropped" }
            dropped.sumOf { it.value as Long } shouldBe 960L
            registry.counter("calls", "route", "none", "outcome", "delivered").count() shouldBe 1_001.0
        }

        data class Case(val name: String, val outcome: String, val status: Int, val message: String)
        listOf(
            Case("served", "delivered", 200, "call: served after an unusable response"),
            Case("failed", "broken: no_room", 200, "call: not served"),
        ).forEach { case ->
            test("neither served nor refused calls hide a call with an unusable response: ${case.name}") {
                val lines = record {
                    repeat(1_000) { finish("delivered", 200, nowMillis = 5_000) }
                    repeat(1_000) { finish("rate", 429, nowMillis = 5_000) }
                    repeat(2) { finish(case.outcome, case.status, nowMillis = 5_000, hasUnusableResponse = true) }
                }
                lines shouldHaveSize 242
                lines.takeLast(2).map { it.level to it.message }.toSet() shouldBe setOf(Level.WARN to case.message)
            }
        }

        test("lines of calls with an unusable response are limited per second") {
            val lines = record {
                repeat(1_000) { finish("delivered", 200, nowMillis = 5_000, hasUnusableResponse = true) }
            }
            lines shouldHaveSize 100
        }
    })
