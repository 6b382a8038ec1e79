package org.poplarshift.serving.observe

import io.github.oshai.kotlinlogging.KotlinLogging
import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import java.time.Duration
import java.util.concurrent.TimeUnit

/**
 * Writes one log line and counts one outcome for each call.
 *
 * Lines of served calls are left out beyond [SERVED_LINES_PER_SECOND], those of failed ones beyond
 * [FAILED_LINES_PER_SECOND]; what was left out is counted and told with the next line.
 */
class CallRecorder(private val registry: MeterRegistry) {
    private val outcomes = HashMap<String, Counter>()
    private val durations = HashMap<String, Timer>()
    private var second = 0L
    private var servedLines = 0
    private var failedLines = 0
    private var dropped = 0L

    /** Ends [record] with the [status] that the caller got, or null when it got none. */
    fun finish(record: CallRecord, status: Int?, nowMillis: Long) {
        val duration = nowMillis - record.receivedMillis
        val route = record.route ?: "none"
        val name = record.outcome.substringBefore(':')
        outcomes.getOrPut("$route/$name") {
            Counter.builder("calls").tag("route", route).tag("outcome", name).register(registry)
        }.increment()
        durations.getOrPut(route) { timer(route) }.record(duration, TimeUnit.MILLISECONDS)
        val isServed = status != null && status < FIRST_FAILURE && record.outcome in SERVED
        if (!mayWrite(isServed, nowMillis)) return
        write(record, status, duration, isServed)
    }

    private fun timer(route: String): Timer = Timer.builder("call_duration")
        .tag("route", route)
        .serviceLevelObjectives(*LEVELS)
        .register(registry)

    private fun mayWrite(isServed: Boolean, nowMillis: Long): Boolean {
        if (nowMillis / MILLIS_PER_SECOND != second) {
            second = nowMillis / MILLIS_PER_SECOND
            servedLines = 0
            failedLines = 0
        }
        val isWithin = if (isServed) {
            servedLines++ < SERVED_LINES_PER_SECOND
        } else {
            failedLines++ <
                FAILED_LINES_PER_SECOND
        }
        if (!isWithin) dropped++
        return isWithin
    }

    private fun write(record: CallRecord, status: Int?, duration: Long, isServed: Boolean) {
        val fields = fields(record, status, duration)
        dropped = 0
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
        "configuration" to record.version,
        "attempts" to record.attempts.joinToString(","),
        "outcome" to record.outcome,
        "status" to status,
        "read_millis" to record.readMillis?.let { it - record.receivedMillis },
        "waited_millis" to record.waitedMillis,
        "first_millis" to record.answeredMillis?.let { it - record.receivedMillis },
        "millis" to duration,
        "lines_dropped" to dropped,
    )

    private companion object {
        val logger = KotlinLogging.logger {}
        val SERVED = setOf("delivered", "read", "accepted", "ended")
        const val FIRST_FAILURE = 400
        const val MILLIS_PER_SECOND = 1_000L

        // A node of the planned fleet serves 20 requests a second; ten times that would cost over 3% of a core.
        const val SERVED_LINES_PER_SECOND = 40
        const val FAILED_LINES_PER_SECOND = 200
        val LEVELS = longArrayOf(10, 50, 100, 300, 500, 1_000, 2_000, 5_000).map {
            Duration.ofMillis(it)
        }.toTypedArray()
    }
}
