package org.poplarshift.core.admission

import org.poplarshift.core.routing.LoadReport

/**
 * The load of one worker as estimated by one node. The node's own outstanding requests are exact; those of other nodes
 * are derived from the worker's load report, which lags.
 *
 * A load report does not distinguish online from batch requests. The node that holds the worker's batch share therefore
 * announces how many batch requests it runs there. Otherwise online requests of other nodes would wait behind batch.
 */
class WorkerLoad {
    private var peerTotal = 0
    private var announcedBatch = 0
    private var announcedMillis = Long.MIN_VALUE
    private var peakOwnSinceReport = 0

    /** The number of this node's outstanding online requests at the worker. */
    var online = 0
        private set

    /** The number of this node's outstanding batch requests at the worker. */
    var batch = 0
        private set

    /** The number of running and waiting requests in the latest load report. */
    var reported = 0
        private set

    /** Handles the dispatch of a request to the worker. */
    fun onDispatched(isBatch: Boolean) {
        if (isBatch) batch++ else online++
        peakOwnSinceReport = maxOf(peakOwnSinceReport, online + batch)
    }

    /** Handles the end of a request. */
    fun onEnded(isBatch: Boolean) {
        if (isBatch) batch-- else online--
    }

    /** Handles a load report. */
    fun onReport(report: LoadReport) {
        reported = report.running + report.waiting
        // The report reflects an unknown time since the previous one. Subtracting the peak of own requests since then
        // never counts own requests as those of other nodes, which would leave capacity unused.
        peerTotal = maxOf(0, reported - peakOwnSinceReport)
        peakOwnSinceReport = online + batch
    }

    /** Handles the number of batch requests that another node announced as the holder of the worker's batch share. */
    fun onBatchAnnounced(running: Int, nowMillis: Long) {
        announcedBatch = running
        announcedMillis = nowMillis
    }

    /** Returns the batch requests that another node announced, or 0 if the announcement is outdated. */
    fun peerBatch(nowMillis: Long): Int = if (announcedMillis != Long.MIN_VALUE &&
        nowMillis - announcedMillis <= ANNOUNCEMENT_VALIDITY_MILLIS
    ) {
        announcedBatch
    } else {
        0
    }

    /** Returns the online requests at the worker: those of this node and the estimate for other nodes. */
    fun onlineLoad(nowMillis: Long): Int = online + maxOf(0, peerTotal - peerBatch(nowMillis))

    /**
     * Returns how many more batch requests the worker may receive. The value is negative if batch exceeds its share and
     * must cancel some requests.
     *
     * @param headroom number of concurrent requests that batch must leave free
     * @param peerOnline online requests at the worker according to peers, which is more recent than the load report
     */
    fun batchRoom(capacity: Int, headroom: Int, peerOnline: Int, nowMillis: Long): Int {
        val onlineRunning = maxOf(onlineLoad(nowMillis), online + peerOnline)
        return capacity - onlineRunning - headroom - batch
    }

    private companion object {
        // Two load polls. After that, the announcing node may have failed, and its batch requests with it.
        const val ANNOUNCEMENT_VALIDITY_MILLIS = 1_000L
    }
}
