package org.poplarshift.verification.soak

import org.poplarshift.standins.caller.CallResult
import org.poplarshift.standins.worker.ResponseContent
import org.poplarshift.standins.worker.WorkerRun

/** Compares what callers of online requests received with what workers ran. */
class CallChecks(private val ledger: SoakLedger, private val disturbances: Disturbances) {
    /** Checks all calls that have ended. */
    fun check() = ledger.calls.forEach { call -> call.result?.let { check(call, it) } }

    private fun check(call: SentCall, result: CallResult) {
        if (!call.kind.isIdempotent) checkRuns(call, result)
        val status = result.status ?: return
        when {
            status in SUCCESSES -> checkSuccess(call, result)
            status in IMPROPER && call.runs.none { it.status == status } -> checkDenied(call, status)
            result.stamp != null -> checkFailure(call, result)
        }
    }

    private fun checkRuns(call: SentCall, result: CallResult) {
        if (call.runs.size > 1) report(Promise.RUNS_ONCE, "${call.runs.size} runs", call)
        if (call.runs.isNotEmpty() && result.isComplete && result.status in REFUSALS) {
            report(Promise.TRUE_REFUSAL, "refused with ${result.status} though it ran", call)
        }
    }

    private fun checkSuccess(call: SentCall, result: CallResult) {
        val run = runOf(call, result)
        when {
            result.stamp == null -> report(Promise.RECEIPT, "a success without a receipt", call)
            run == null -> report(Promise.OWN_RESPONSE, "a success that is no run's, stamp ${result.stamp}", call)
            run.status != result.status -> report(Promise.TRUE_SUCCESS, "a success where the run failed", call)
            call.kind.isStream -> checkStream(call, result)
            result.isComplete -> checkBody(call, result, ResponseContent.plain(call.call.id))
        }
    }

    private fun checkFailure(call: SentCall, result: CallResult) {
        val run = runOf(call, result)
        when {
            run == null -> report(Promise.OWN_RESPONSE, "a failure that is no run's, stamp ${result.stamp}", call)
            run.status != result.status -> report(Promise.OWN_STATUS, "not the status of the run", call)
            result.isComplete -> run.body?.let { checkBody(call, result, it) }
        }
    }

    // A body that has neither the beginning of the worker's nor begins with it is that of another response.
    private fun checkBody(call: SentCall, result: CallResult, whole: String) {
        val body = result.body
        when {
            body == whole -> Unit
            body.startsWith(whole) ->
                report(Promise.WHOLE_BODY, "longer: ${excerpt(body.drop(whole.length))}", call)

            whole.startsWith(body) -> report(Promise.WHOLE_BODY, "${body.length} of ${whole.length} bytes", call)
            else -> report(Promise.OWN_RESPONSE, "another body: ${excerpt(body)}", call)
        }
    }

    private fun checkStream(call: SentCall, result: CallResult) {
        // The versions of events are compared in VersionCheck.
        val versions = call.versions
        val missing = versions.values.lastOrNull() ?: runOf(call, result)!!.softwareVersion
        val whole = ResponseContent.eventsAfter(call.call.id, call.call.resumeAfter ?: 0) { versions[it] ?: missing }
        when {
            !whole.startsWith(result.body) ->
                report(Promise.STREAM_ORDER, "other events: ${excerpt(result.body.takeLast(EXCERPT))}", call)

            result.isComplete && result.body != whole ->
                report(Promise.STREAM_ORDER, "ended as complete after ${excerpt(result.body.takeLast(EXCERPT))}", call)
        }
    }

    // A withdrawn key is rejected, and one that was given just now may not be known yet.
    private fun checkDenied(call: SentCall, status: Int) {
        if (call.call.key !in LASTING_KEYS) return
        report(Promise.NOT_DENIED, "rejected with $status", call)
    }

    /** Checks that planned [stops] cut off no request. */
    fun checkStops(stops: List<PlannedStop>) = stops.forEach { checkStop(it) }

    private fun checkStop(stop: PlannedStop) {
        for (call in ledger.calls.filter { it.node == stop.node && it.sentMillis in stop.fromMillis..stop.toMillis }) {
            val result = call.result ?: continue
            val isCut = !result.isComplete && result.endMillis <= stop.toMillis + EXIT_MILLIS
            val isWorkersDoing = call.runs.any { !it.isComplete } || call.runs.isEmpty()
            val isCallersDoing = call.call.leaveAfterMillis?.let { result.endMillis - result.sentMillis >= it } == true
            val isExcused = isWorkersDoing || isCallersDoing
            if (isCut && !isExcused && disturbances.isCalm(stop.node, call.sentMillis, stop.toMillis)) {
                report(Promise.PLANNED_STOP, "cut off while ${stop.node} stopped", call)
            }
        }
    }

    private fun excerpt(text: String) = text.take(EXCERPT).replace("\r", "\\r").replace("\n", "\\n")

    private fun runOf(call: SentCall, result: CallResult): WorkerRun? = call.runs.find { it.stamp == result.stamp }

    private fun report(promise: Promise, detail: String, call: SentCall) =
        ledger.report(promise, "$detail: ${call.describe()}")

    private companion object {
        val SUCCESSES = 200..299
        val IMPROPER = setOf(400, 401, 403, 404, 413, 431)
        val REFUSALS = setOf(408, 421, 429, 503)
        val LASTING_KEYS = setOf(SoakOrganisations.LASTING_KEY, SoakOrganisations.LIMITED_KEY)
        const val EXCERPT = 80
        const val EXIT_MILLIS = 500L
    }
}

/** The time from SIGTERM of [node] to the end of its process, in monotonic milliseconds. */
data class PlannedStop(val node: String, val fromMillis: Long, val toMillis: Long)
