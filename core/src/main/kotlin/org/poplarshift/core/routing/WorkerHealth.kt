package org.poplarshift.core.routing

import org.poplarshift.core.verdict.RefusalReason
import org.poplarshift.core.verdict.Verdict

/**
 * The health of one worker as observed by one node: load reports, refused connections and consecutive failures.
 *
 * Before the first report, [createdMillis] counts as the time of the latest report, so that a new node can serve
 * immediately. All times are monotonic milliseconds of the node.
 */
class WorkerHealth(private val settings: WorkerHealthSettings, createdMillis: Long) {
    private var lastReportMillis = createdMillis
    private var refusesConnections = false
    private var ejectedUntilMillis = Long.MIN_VALUE
    private var ejections = 0

    /** Whether the worker was leaving according to its latest report. */
    var isLeaving = false
        private set

    /** The number of failures since the last success. */
    var consecutiveFailures = 0
        private set

    /** Handles a load report that the worker created no later than [nowMillis]. */
    fun onReport(report: LoadReport, nowMillis: Long) {
        lastReportMillis = nowMillis
        refusesConnections = false
        isLeaving = report.leaving
    }

    /** Handles a failed poll. [refused] is true if the worker's host refused the connection. */
    fun onPollFailed(refused: Boolean) {
        if (refused) refusesConnections = true
    }

    /** Handles the outcome of a request. */
    fun onVerdict(verdict: Verdict, nowMillis: Long) {
        if (verdict == Verdict.NotRun(RefusalReason.CONNECT_FAILED)) refusesConnections = true
        when {
            isFailure(verdict) -> onFailure(nowMillis)
            verdict is Verdict.Answered -> onSuccess()
        }
    }

    /** Returns the age of the latest report in milliseconds. */
    fun reportAgeMillis(nowMillis: Long): Long = nowMillis - lastReportMillis

    /** Whether the latest report is older than the silence limit. */
    fun isReportOverdue(nowMillis: Long): Boolean = reportAgeMillis(nowMillis) > settings.silenceLimitMillis

    /** Whether the worker is due for ejection. [OutlierEjection] limits the number of workers that are ejected. */
    fun isOutlier(nowMillis: Long): Boolean = nowMillis < ejectedUntilMillis

    /** Whether the worker may receive new work, regardless of outlier ejection. */
    fun isReachable(nowMillis: Long): Boolean = !isLeaving && !refusesConnections && !isReportOverdue(nowMillis)

    private fun onFailure(nowMillis: Long) {
        consecutiveFailures++
        if (consecutiveFailures < settings.failureLimit || isOutlier(nowMillis)) return
        val doublings = minOf(ejections, MAXIMUM_DOUBLINGS)
        ejectedUntilMillis = nowMillis + (settings.ejectionMillis shl doublings)
        ejections++
    }

    private fun onSuccess() {
        consecutiveFailures = 0
        ejections = 0
    }

    private fun isFailure(verdict: Verdict): Boolean = when (verdict) {
        is Verdict.Answered -> verdict.status >= FIRST_SERVER_ERROR
        is Verdict.NotRun -> verdict.reason in FAILURES
        is Verdict.MayHaveRun -> verdict.reason in FAILURES
    }

    private companion object {
        const val FIRST_SERVER_ERROR = 500
        const val MAXIMUM_DOUBLINGS = 4
        val FAILURES = setOf(
            RefusalReason.CONNECT_FAILED,
            RefusalReason.CONNECTION_LOST,
            RefusalReason.UPSTREAM_TIMEOUT,
            RefusalReason.UPSTREAM_REFUSED,
            RefusalReason.WRONG_RESPONSE,
        )
    }
}
