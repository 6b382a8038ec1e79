package org.poplarshift.core.admission

import org.poplarshift.core.routing.LoadReport

/**
 * The load of one worker as one node knows it: the node's own outstanding requests exactly, those of other nodes from
 * the lagging load report.
 *
 * A load report doesn't tell online from batch. The node that holds the worker's batch share therefore announces how
 * many batch requests it runs there; without that figure online requests of other nodes would wait behind batch.
 */
class WorkerLoad {
    private var peerTotal = 0
    private var announcedBatch = 0
    private var announcedMillis = Long.MIN_VALUE
    private var peakOwnSinceReport = 0

    /** This node's online requests that the worker has not finished. */
    var online = 0
        private set

    /** This node's batch requests that the worker has not finished. */
    var batch = 0
        private set

    /** Running and waiting requests in the newest load report. */
    var reported = 0
        private set

    /** Counts a request that is sent to the worker. */
    fun onDispatched(isBatch: Boolean) {
        if (isBatch) batch++ else online++
        peakOwnSinceReport = maxOf(peakOwnSinceReport, online + batch)
    }

    /** Counts a request that has ended. */
    fun onEnded(isBatch: Boolean) {
        if (isBatch) batch-- else online--
    }

    /** Takes a load report. */
    fun onReport(report: LoadReport) {
        reported = report.running + report.waiting
        // The report is from some time since the last one. Subtracting the largest number of own requests since then
        // never counts own requests as those of others, which would leave room unused.
        peerTotal = maxOf(0, reported - peakOwnSinceReport)
        peakOwnSinceReport = online + batch
    }

    /** Takes the number of batch requests that the holder of the worker's batch share runs, if that is another node. */
    fun onBatchAnnounced(running: Int, nowMillis: Long) {
        announcedBatch = running
        announcedMillis = nowMillis
    }

    /** Batch requests of another node that holds the worker's batch share. */
    fun peerBatch(nowMillis: Long): Int = if (announcedMillis != Long.MIN_VALUE &&
        nowMillis - announcedMillis <= ANNOUNCEMENT_VALIDITY_MILLIS
    ) {
        announcedBatch
    } else {
        0
    }

    /** Online requests at the worker: this node's and the estimated ones of other nodes. */
    fun onlineLoad(nowMillis: Long): Int = online + maxOf(0, peerTotal - peerBatch(nowMillis))

    /**
     * How many more batch requests the worker may get; negative when batch exceeds its share and must cancel some.
     *
     * @param headroom concurrent requests that batch leaves free
     * @param peerOnline online requests that peers have reported for the worker, which are newer than the load report
     */
    fun batchRoom(capacity: Int, headroom: Int, peerOnline: Int, nowMillis: Long): Int {
        val onlineRunning = maxOf(onlineLoad(nowMillis), online + peerOnline)
        return capacity - onlineRunning - headroom - batch
    }

    private companion object {
        // Two load polls; after that the announcing node may be gone and its batch with it.
        const val ANNOUNCEMENT_VALIDITY_MILLIS = 1_000L
    }
}
