package org.poplarshift.core.dispatch

/**
 * Decides from the reports of all nodes of a zone which workers can't be reached.
 *
 * The report of one node may be due to its own connection, so that a worker is ejected once two nodes have reported it
 * and no request was served in between. It is readmitted after [EJECTION_MILLIS], or for a trial if it stays bad.
 */
class WorkerReports {
    private class Report(val node: String, val atMillis: Long)

    private val reportsByWorker = HashMap<String, MutableList<Report>>()
    private val ejectedUntilMillis = HashMap<String, Long>()

    /** Records that [worker] has responded to a node. */
    fun onUsed(worker: String) {
        reportsByWorker.remove(worker)
    }

    /** Records that [node], one of [nodes] nodes, can't reach [worker]. Returns whether the worker is to be ejected. */
    fun onUnreachable(worker: String, node: String, nodes: Int, nowMillis: Long): Boolean {
        val reports = reportsByWorker.getOrPut(worker) { ArrayList() }
        reports.removeIf { nowMillis - it.atMillis > REPORT_AGE_MILLIS || it.node == node }
        reports += Report(node, nowMillis)
        if (reports.size < minOf(REPORTING_NODES, nodes)) return false
        ejectedUntilMillis[worker] = nowMillis + EJECTION_MILLIS
        return true
    }

    /** Removes and returns the workers whose ejection has ended. */
    fun readmissible(nowMillis: Long): List<String> {
        val ended = ejectedUntilMillis.filterValues { it <= nowMillis }.keys.toList()
        ended.forEach { ejectedUntilMillis.remove(it) }
        return ended
    }

    private companion object {
        const val REPORTING_NODES = 2
        const val REPORT_AGE_MILLIS = 2_000L

        // About the time after which a crashed worker may be back. A trial costs a few requests one more attempt.
        const val EJECTION_MILLIS = 1_000L
    }
}
