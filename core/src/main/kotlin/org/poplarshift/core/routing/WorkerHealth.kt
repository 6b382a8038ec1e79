package org.poplarshift.core.routing

import org.poplarshift.core.verdict.RefusalReason
import org.poplarshift.core.verdict.Verdict

/**
 * What one node has seen of one worker: load reports, refused connections and consecutive failures.
 *
 * A worker without any report yet counts as heard from at [createdMillis], so that a new node can serve at once.
 * All times are monotonic milliseconds of the node.
 */
class WorkerHealth(private val settings: WorkerHealthSettings, createdMillis: Long) {
    private var lastReportMillis = createdMillis
    private var refusesConnections = false
    private var ejectedUntilMillis = Long.MIN_VALUE
    private var ejections = 0

    /** Whether the last report said that the worker is leaving. */
    var isLeaving = false
        private set

    /** Failures since the last success. */
    var consecutiveFailures = 0
        private set

    /** Takes a load report that the worker gave at [nowMillis] at the latest. */
    fun onReport(report: LoadReport, nowMillis: Long) {
        lastReportMillis = nowMillis
        refusesConnections = false
        isLeaving = report.leaving
    }

    /** Takes a failed poll; [refused] tells that the worker's host refused the connection. */
    fun onPollFailed(refused: Boolean) {
        if (refused) refusesConnections = true
    }

    /** Takes the outcome of a request. */
    fun onVerdict(verdict: Verdict, nowMillis: Long) {
        if (verdict == Verdict.NotRun(RefusalReason.CONNECT_FAILED)) refusesConnections = true
        when {
            isFailure(verdict) -> onFailure(nowMillis)
            verdict is Verdict.Answered -> onSuccess()
        }
    }

    /** Age in milliseconds of the newest report. */
    fun reportAgeMillis(nowMillis: Long): Long = nowMillis - lastReportMillis

    /** Whether the worker has not answered for too long. */
    fun isReportOverdue(nowMillis: Long): Boolean = reportAgeMillis(nowMillis) > settings.silenceLimitMillis

    /** Whether failures put the worker out of use; [OutlierEjection] limits how many workers this may concern. */
    fun isOutlier(nowMillis: Long): Boolean = nowMillis < ejectedUntilMillis

    /** Whether new work may go to the worker, apart from outlier ejection. */
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
