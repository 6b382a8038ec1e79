package org.poplarshift.serving.observe

import io.github.oshai.kotlinlogging.KotlinLogging
import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import java.time.Duration
import java.util.EnumMap
import java.util.concurrent.TimeUnit

/**
 * Writes one log line for each call and counts its outcome.
 *
 * The lines per second are limited for each [CallLineKind]. The next line reports how many lines were dropped.
 */
class CallRecorder(private val registry: MeterRegistry) {
    private val outcomeCounters = HashMap<String, Counter>()
    private val durationTimers = HashMap<String, Timer>()
    private var currentSecond = 0L
    private val lines = EnumMap<CallLineKind, Int>(CallLineKind::class.java)
    private var droppedLines = 0L

    /** Records the end of a call with the [status] that the caller received, or null when it received none. */
    fun finish(record: CallRecord, status: Int?, nowMillis: Long) {
        val duration = nowMillis - record.receivedMillis
        val route = record.route ?: "none"
        val name = record.outcome.substringBefore(':')
        outcomeCounters.getOrPut("$route/$name") {
            Counter.builder("calls").tag("route", route).tag("outcome", name).register(registry)
        }.increment()
        durationTimers.getOrPut(route) { timer(route) }.record(duration, TimeUnit.MILLISECONDS)
        val isServed = status != null && status < FIRST_ERROR_STATUS && record.outcome in SUCCESSFUL_OUTCOMES
        val kind = when {
            record.hasUnusableResponse -> CallLineKind.UNUSABLE_RESPONSE
            isServed -> CallLineKind.SERVED
            else -> CallLineKind.NOT_SERVED
        }
        if (allowLine(kind, nowMillis)) write(record, status, duration, isServed)
    }

    private fun timer(route: String): Timer = Timer.builder("call_duration")
        .tag("route", route)
        .serviceLevelObjectives(*DURATION_BUCKETS)
        .register(registry)

    private fun allowLine(kind: CallLineKind, nowMillis: Long): Boolean {
        if (nowMillis / MILLIS_PER_SECOND != currentSecond) {
            currentSecond = nowMillis / MILLIS_PER_SECOND
            lines.clear()
        }
        val isAllowed = lines.merge(kind, 1, Int::plus)!! <= kind.linesPerSecond
        if (!isAllowed) droppedLines++
        return isAllowed
    }

    private fun write(record: CallRecord, status: Int?, duration: Long, isServed: Boolean) {
        val fields = fields(record, status, duration)
        droppedLines = 0
        if (isServed && !record.hasUnusableResponse) {
            logger.atInfo {
                message = "call: served"
                payload = fields
            }
        } else {
            // A warning, because a stalled output drops lines of lower levels first.
            logger.atWarn {
                message = if (isServed) "call: served after an unusable response" else "call: not served"
                payload = fields
            }
        }
    }

    private fun fields(record: CallRecord, status: Int?, duration: Long): Map<String, Any?> = mapOf(
        "request" to record.head.requestId,
        "method" to record.method,
        "host" to record.head.host,
        "path" to record.head.path,
        "route" to record.route,
        "organisation" to record.organisation,
        "configuration" to record.configurationVersion,
        "prompt_parts" to record.promptParts.joinToString(","),
        "attempts" to record.attempts.joinToString(","),
        "outcome" to record.outcome,
        "status" to status,
        "read_millis" to record.readMillis?.let { it - record.receivedMillis },
        "waited_millis" to record.waitedMillis,
        "first_millis" to record.responseStartMillis?.let { it - record.receivedMillis },
        "millis" to duration,
        "lines_dropped" to droppedLines,
    )

    private companion object {
        val logger = KotlinLogging.logger {}
        val SUCCESSFUL_OUTCOMES = setOf("delivered", "read", "accepted", "ended")
        const val FIRST_ERROR_STATUS = 400
        const val MILLIS_PER_SECOND = 1_000L
        val DURATION_BUCKETS = longArrayOf(10, 50, 100, 300, 500, 1_000, 2_000, 5_000).map {
            Duration.ofMillis(it)
        }.toTypedArray()
    }
}
