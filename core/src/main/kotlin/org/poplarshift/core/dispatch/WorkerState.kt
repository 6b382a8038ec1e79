package org.poplarshift.core.dispatch

/** What one node knows of one worker. Times are monotonic milliseconds of the node. */
class WorkerState(var worker: FleetWorker) {
    private var reportedPeerRequests = 0.0
    private var reportedMillis = Long.MIN_VALUE
    private var consecutiveLosses = 0
    private var peakOwnSinceReport = 0

    /** Online requests of this node that the worker has not finished. */
    var online = 0
        private set

    /** Batch requests of this node that the worker has not finished. */
    var batch = 0
        private set

    /** Online requests of other nodes, as these have announced. */
    var peersOnline = 0
        internal set

    /** Batch requests of other nodes, as these have announced. */
    var peersBatch = 0
        internal set

    /** Whether the worker gets no new requests until a connection to it succeeds. */
    var isSuspect = false
        private set

    /** Counts a request that is sent. */
    fun onSent(isBatch: Boolean) {
        if (isBatch) batch++ else online++
        peakOwnSinceReport = maxOf(peakOwnSinceReport, online + batch)
    }

    /** Counts a request that has ended. */
    fun onEnded(isBatch: Boolean) {
        if (isBatch) batch-- else online--
    }

    /** Takes the number of requests at the worker that it reported. */
    fun onLoadReport(requests: Int, nowMillis: Long) {
        // The report may be from before this node's newest requests; subtracting the peak never counts own requests as
        // those of others.
        reportedPeerRequests = maxOf(0, requests - peakOwnSinceReport).toDouble()
        reportedMillis = nowMillis
        peakOwnSinceReport = online + batch
    }

    /** Takes a sign that the worker is alive and can be reached. */
    fun onReachable() {
        consecutiveLosses = 0
        isSuspect = false
    }

    /** Takes a connection that could not be made, or the answer that another worker has the address. */
    fun onUnreachable() {
        isSuspect = true
    }

    /** Takes a request that got no answer in time. */
    fun onResponseTimeout() {
        isSuspect = true
    }

    /** Takes a request whose connection was lost. Only several in a row make the worker suspect. */
    fun onConnectionLost() {
        if (++consecutiveLosses >= CONNECTION_LOSS_LIMIT) isSuspect = true
    }

    /** Takes the worker's answer that it is full. */
    fun onFull(nowMillis: Long) {
        reportedPeerRequests = maxOf(reportedPeerRequests, (worker.slots - online - batch).toDouble())
        reportedMillis = nowMillis
    }

    /** Requests at the worker, of all nodes, as far as known. */
    fun load(nowMillis: Long): Double = online + batch + peerRequests(nowMillis)

    /** Slots that are probably free; negative when requests wait at the worker. */
    fun freeSlots(nowMillis: Long): Double = worker.slots - load(nowMillis)

    private fun peerRequests(nowMillis: Long): Double {
        val announced = (peersOnline + peersBatch).toDouble()
        if (reportedMillis == Long.MIN_VALUE) return announced
        val age = (nowMillis - reportedMillis).coerceAtLeast(0)
        val reported = reportedPeerRequests * (1.0 - age.toDouble() / REPORT_DECAY_MILLIS).coerceAtLeast(0.0)
        return maxOf(announced, reported)
    }

    private companion object {
        // About the duration of a request, after which a report says nothing of the present load.
        const val REPORT_DECAY_MILLIS = 700L

        // Single answers get lost at sound workers too.
        const val CONNECTION_LOSS_LIMIT = 3
    }
}
