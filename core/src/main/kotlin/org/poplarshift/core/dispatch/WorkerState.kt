package org.poplarshift.core.dispatch

import org.poplarshift.core.dispatch.cost.WorkerWork
import kotlin.math.floor

/**
 * The state of one worker as seen by one node or scheduler. Times are monotonic milliseconds.
 *
 * @param rateShare returns the share of the worker's rate limit that the observer may use, 0 to 1
 */
class WorkerState(var worker: FleetWorker, private val rateShare: () -> Double = { 1.0 }) {
    private var reportedPeerRequests = 0.0
    private var reportedMillis = Long.MIN_VALUE
    private var consecutiveLosses = 0
    private var peakOwnSinceReport = 0
    private var pacer: RequestPacer? = null

    /** The runs at the worker whose cost is known. */
    val work = WorkerWork()

    /** Counted online requests in flight at the worker. */
    var online = 0
        private set

    /** Counted batch requests in flight at the worker. */
    var batch = 0
        private set

    /** Requests per second that the worker accepts from all nodes together, or null if it does not limit them. */
    var requestsPerSecond: Double? = null
        private set

    /** Whether the worker receives no new requests until a connection to it succeeds. */
    var isSuspect = false
        private set

    /** Whether the worker has stated to this or another node that it leaves. Holds until the worker has restarted. */
    var isLeaving = false
        private set

    /** Whether the worker accepts new requests. */
    val isAvailable: Boolean
        get() = !worker.isDraining && !isLeaving && !isSuspect

    /** Counts a request that is being sent. */
    fun onSent(isBatch: Boolean) {
        if (isBatch) batch++ else online++
        peakOwnSinceReport = maxOf(peakOwnSinceReport, online + batch)
    }

    /** Counts a request that has ended. */
    fun onEnded(isBatch: Boolean) {
        if (isBatch) batch-- else online--
    }

    /** Records the number of [requests] that the worker reports to be running and queued. */
    fun onLoadReport(requests: Int, nowMillis: Long) {
        // The report may predate the latest changes of this node's own requests. Subtracting their peak since the last
        // report never attributes own requests to other nodes.
        reportedPeerRequests = maxOf(0, requests - peakOwnSinceReport).toDouble()
        reportedMillis = nowMillis
        peakOwnSinceReport = online + batch
    }

    /** Records the limit that the worker states in a response. Returns whether it has changed. */
    fun onRateLimit(requestsPerSecond: Double?, nowMillis: Long): Boolean {
        if (this.requestsPerSecond == requestsPerSecond) return false
        this.requestsPerSecond = requestsPerSecond
        restartPacing(nowMillis)
        return true
    }

    /** Spaces the requests from now on as if none had been possible before. */
    fun restartPacing(nowMillis: Long) {
        pacer = requestsPerSecond?.let { RequestPacer(it, rateShare, nowMillis) }
    }

    /** Records that the worker has stated, to this node or to another one, that it leaves. */
    fun onLeaving() {
        isLeaving = true
    }

    /** Number of requests that may be sent at once: free slots, and no more than the worker's rate limit allows. */
    fun startableRequests(nowMillis: Long): Int {
        val paced = pacer?.available(nowMillis) ?: Double.MAX_VALUE
        return floor(minOf(freeSlots(nowMillis), paced)).toInt().coerceAtLeast(0)
    }

    /** Counts a request against the worker's rate limit. */
    fun onPaced(nowMillis: Long) {
        pacer?.onSent(nowMillis)
    }

    /** Whether the worker's rate limit allows a request now. */
    fun isWithinRate(nowMillis: Long): Boolean = (pacer?.available(nowMillis) ?: 1.0) >= 1.0

    /** Records that the worker is reachable, which clears the suspicion. */
    fun onReachable() {
        consecutiveLosses = 0
        isSuspect = false
    }

    /** Records that a connection attempt has failed or that another worker responds at the address. */
    fun onUnreachable() {
        isSuspect = true
    }

    /** Records a request whose connection was lost. Only several in a row make the worker suspect. */
    fun onConnectionLost() {
        if (++consecutiveLosses >= CONNECTION_LOSS_LIMIT) isSuspect = true
    }

    /** Records that the worker has refused a request because all its slots are in use. */
    fun onFull(nowMillis: Long) {
        reportedPeerRequests = maxOf(reportedPeerRequests, (worker.slots - online - batch).toDouble())
        reportedMillis = nowMillis
    }

    /** Estimated number of requests of all nodes at the worker. */
    fun load(nowMillis: Long): Double = online + batch + peerRequests(nowMillis)

    /** Estimated number of free slots; negative when requests are queued at the worker. */
    fun freeSlots(nowMillis: Long): Double = worker.slots - load(nowMillis)

    private fun peerRequests(nowMillis: Long): Double {
        if (reportedMillis == Long.MIN_VALUE) return 0.0
        val age = (nowMillis - reportedMillis).coerceAtLeast(0)
        return reportedPeerRequests * (1.0 - age.toDouble() / REPORT_DECAY_MILLIS).coerceAtLeast(0.0)
    }

    private companion object {
        // About the duration of a request, after which a report says nothing about the current load.
        const val REPORT_DECAY_MILLIS = 700L

        // Healthy workers lose single connections as well.
        const val CONNECTION_LOSS_LIMIT = 3
    }
}
