package org.poplarshift.serving.observe

import io.github.oshai.kotlinlogging.KotlinLogging
import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import java.time.Duration
import java.util.concurrent.TimeUnit

/**
 * Writes one log line for each call and counts its outcome.
 *
 * At most [SERVED_LINES_PER_SECOND] lines of served calls and [FAILED_LINES_PER_SECOND] lines of failed calls are
 * written per second. The next line reports how many lines were dropped.
 */
class CallRecorder(private val registry: MeterRegistry) {
    private val outcomeCounters = HashMap<String, Counter>()
    private val durationTimers = HashMap<String, Timer>()
    private var currentSecond = 0L
    private var servedLines = 0
    private var failedLines = 0
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
        if (!allowLine(isServed, nowMillis)) return
        write(record, status, duration, isServed)
    }

    private fun timer(route: String): Timer = Timer.builder("call_duration")
        .tag("route", route)
        .serviceLevelObjectives(*DURATION_BUCKETS)
        .register(registry)

    private fun allowLine(isServed: Boolean, nowMillis: Long): Boolean {
        if (nowMillis / MILLIS_PER_SECOND != currentSecond) {
            currentSecond = nowMillis / MILLIS_PER_SECOND
            servedLines = 0
            failedLines = 0
        }
        val isAllowed = if (isServed) {
            servedLines++ < SERVED_LINES_PER_SECOND
        } else {
            failedLines++ <
                FAILED_LINES_PER_SECOND
        }
        if (!isAllowed) droppedLines++
        return isAllowed
    }

    private fun write(record: CallRecord, status: Int?, duration: Long, isServed: Boolean) {
        val fields = fields(record, status, duration)
        droppedLines = 0
        if (isServed) {
            logger.atInfo {
                message = "call: served"
                payload = fields
            }
        } else {
            logger.atWarn {
                message = "call: not served"
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

        // A node of the planned fleet serves 20 requests a second. Logging ten times that would cost over 3% of a core.
        const val SERVED_LINES_PER_SECOND = 40
        const val FAILED_LINES_PER_SECOND = 200
        val DURATION_BUCKETS = longArrayOf(10, 50, 100, 300, 500, 1_000, 2_000, 5_000).map {
            Duration.ofMillis(it)
        }.toTypedArray()
    }
}
