package org.poplarshift.verification.soak

import org.poplarshift.standins.caller.ResultPage
import org.poplarshift.standins.worker.ResponseContent

/** Checks the submissions at the end of a soak, when everything has been calm for a while. */
class SubmissionChecks(private val fleet: SoakFleet, private val load: SubmissionLoad) {
    private val ledger = fleet.ledger

    /** Whether all accepted submissions that were not ended are complete at the first node. */
    suspend fun areComplete(): Boolean = openSubmissions().all { submission ->
        load.readAll(submission, fleet.nodes.first())?.size == submission.items.size
    }

    /** Checks all submissions at all nodes. */
    suspend fun check() {
        ledger.submissions.filter { it.isRefused }.forEach { submission ->
            val ran = submission.items.filter { it.runs.isNotEmpty() }.map { it.id }
            if (ran.isNotEmpty()) ledger.report(Promise.TRUE_REFUSAL, "refused submission ran: $ran")
        }
        for (submission in ledger.submissions.filter { it.acceptedMillis != null }) {
            fleet.nodes.forEach { node -> checkAt(node, submission) }
            checkEnd(submission)
        }
    }

    private fun openSubmissions() = ledger.submissions.filter { it.acceptedMillis != null && !it.isEndRequested }

    private suspend fun checkAt(node: SoakNode, submission: SentSubmission) {
        val entries = load.readAll(submission, node)
            ?: return report(submission, "can't be read at ${node.name} at the end")
        submission.results.forEachIndexed { position, known ->
            val entry = entries.getOrNull(position)
            if (entry?.id != known.item || entry.output != known.output) {
                report(submission, "position $position holds ${entry?.id} at ${node.name} instead of ${known.item}")
            }
        }
        if (entries.distinctBy { it.id }.size != entries.size) report(submission, "an item has two results")
        if (!submission.isEndRequested && entries.size != submission.items.size) {
            report(submission, "${entries.size} of ${submission.items.size} results at ${node.name}")
        }
        entries.forEach { checkResult(submission, it) }
    }

    private fun checkResult(submission: SentSubmission, entry: ResultPage.Entry) {
        val item = submission.items.find { it.id == entry.id }
            ?: return report(submission, "result of ${entry.id}, which is no item")
        if (entry.state == "complete") {
            checkOutput(submission, item, entry.output)
        } else if (!submission.isEndRequested &&
            item.runs.count { it.status == FAILED } < SoakOrganisations.MAXIMUM_ATTEMPTS
        ) {
            report(submission, "${item.id} was given up after ${item.runs.map { it.status }}")
        }
    }

    private fun checkOutput(submission: SentSubmission, item: SentItem, output: String) {
        val versions = output.lines().map { it.substringAfterLast(' ') }.toSet()
        if (item.runs.any { output == ResponseContent.output(item.id, it.softwareVersion) }) return
        val promise = if (versions.size > 1) Promise.ONE_VERSION else Promise.ACCEPTED_SUBMISSION
        ledger.report(promise, "other output of ${item.id} of ${submission.id}: ${item.runs.map { it.fault }}")
    }

    private fun checkEnd(submission: SentSubmission) {
        val ended = submission.endedMillis ?: return
        val late = submission.items.flatMap { it.runs }.filter { it.startMillis > ended + CANCEL_MILLIS }
        val isCalm = fleet.nodes.all { fleet.disturbances.isInTouch(it.name, ended, ended + CANCEL_MILLIS) }
        if (late.isNotEmpty() && isCalm) {
            ledger.report(
                Promise.ENDED_SUBMISSION,
                "${submission.id} ended at $ended, run at ${late.first().startMillis}",
            )
        }
    }

    private fun report(submission: SentSubmission, detail: String) =
        ledger.report(Promise.ACCEPTED_SUBMISSION, "submission ${submission.id}: $detail")

    private companion object {
        const val FAILED = 500
        const val CANCEL_MILLIS = 3_000L
    }
}
