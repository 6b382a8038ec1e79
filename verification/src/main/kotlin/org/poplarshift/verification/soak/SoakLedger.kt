package org.poplarshift.verification.soak

import org.poplarshift.standins.worker.WorkerRun

/** What callers have sent and what workers have run, independent of what nodes believe. Used on one event loop. */
class SoakLedger {
    private val callsById = HashMap<String, SentCall>()
    private val submissionsByItem = HashMap<String, SentSubmission>()
    private val found = ArrayList<Violation>()

    /** All calls in the order in which they were sent. */
    val calls = ArrayList<SentCall>()

    /** All submissions in the order in which they were sent. */
    val submissions = ArrayList<SentSubmission>()

    /** The violations so far. */
    val violations: List<Violation>
        get() = found

    /** Records that [call] is about to be sent. */
    fun onSent(call: SentCall) {
        callsById[call.call.id] = call
        calls += call
    }

    /** Records that [submission] is about to be sent for the first time. */
    fun onSent(submission: SentSubmission) {
        submissions += submission
        submission.items.forEach { submissionsByItem[it.id] = submission }
    }

    /** Records a run and verifies that it is what a caller has sent. */
    fun onRun(run: WorkerRun) {
        val call = callsById[run.requestId]
        val submission = submissionsByItem[run.requestId]
        when {
            call != null -> onRun(call, run)
            submission != null -> onRun(submission, run)
            else -> report(Promise.AS_SENT, "${run.worker} ran ${run.requestId}, which no caller has sent")
        }
    }

    /** Records a violation of [promise]. */
    fun report(promise: Promise, detail: String) {
        found += Violation(promise, detail)
    }

    private fun onRun(call: SentCall, run: WorkerRun) {
        call.runs += run
        val request = run.request
        val isAsSent = request.method == call.call.method &&
            request.uri == call.call.uri &&
            request.body.decodeToString() == call.call.body &&
            run.organisation == call.organisation &&
            run.isEngine == call.kind.isStream &&
            call.call.key !in request.headers.entries().map { it.value }
        if (!isAsSent) report(Promise.AS_SENT, "changed: ${request.method} ${request.uri} of ${call.describe()}")
    }

    private fun onRun(submission: SentSubmission, run: WorkerRun) {
        val item = submission.items.first { it.id == run.requestId }
        item.runs += run
        val isAsSent = run.request.uri == item.path && run.organisation == submission.organisation && run.isEngine
        if (!isAsSent) report(Promise.AS_SENT, "changed: ${run.request.uri} of item ${item.id}")
    }
}
