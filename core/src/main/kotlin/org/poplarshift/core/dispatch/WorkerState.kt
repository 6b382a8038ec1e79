package org.poplarshift.core.dispatch

import org.poplarshift.core.dispatch.cost.WorkerWork
import kotlin.math.floor

/**
 * The state of one worker as seen by one node or scheduler. Times are monotonic milliseconds.
 *
 * @param rateShare returns the share of the worker's rate limits that the observer may use, 0 to 1
 * @param coldLimit returns the requests per second that the worker accepts from all nodes together while it is cold, or
 *   null if they are not limited
 * @param random returns values from 0 until 1
 */
class WorkerState(
    var worker: FleetWorker,
    private val rateShare: () -> Double = { 1.0 },
    private val coldLimit: () -> Double? = { null },
    private val random: () -> Double = { 0.0 },
) {
    private var reportedPeerRequests = 0.0
    private var reportedMillis = Long.MIN_VALUE
    private var consecutiveLosses = 0
    private var consecutiveInvalidStatuses = 0
    private var peakOwnSinceReport = 0
    private var pacer: RequestPacer? = null
    private var coldPacer: RequestPacer? = null
    private var coldRequestsPerSecond: Double? = null
    private var assumedColdUntilMillis = Long.MIN_VALUE

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

    /** Whether the worker's zone is evacuated: it gets no new requests, and those that it runs may finish. */
    var isEvacuated = false
        internal set

    /** Whether the registry does not list this start of the worker any more: it has restarted or is gone. */
    var isReplaced = false
        internal set

    /** Whether the worker accepts new requests. */
    val isAvailable: Boolean
        get() = !worker.isDraining && !isLeaving && !isSuspect && !isEvacuated

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
        coldRequestsPerSecond = null
    }

    /** Treats the worker as cold until [untilMillis], in addition to what its registry entry states. */
    fun assumeCold(untilMillis: Long) {
        assumedColdUntilMillis = untilMillis
    }

    /** Whether the rate of requests to the worker is limited, because it states a limit or because it is cold. */
    fun isPaced(nowMillis: Long): Boolean = requestsPerSecond != null || coldPacer(nowMillis) != null

    private fun coldPacer(nowMillis: Long): RequestPacer? {
        val isCold = nowMillis < maxOf(worker.coldUntilMillis, assumedColdUntilMillis)
        val limit = if (isCold) coldLimit() else null
        if (limit != coldRequestsPerSecond) {
            coldRequestsPerSecond = limit
            // Nodes that find themselves without a scheduler at the same time must not send their first requests together.
            val initialTokens = if (rateShare() < 1.0) -random() else 0.0
            coldPacer = limit?.let { RequestPacer(it, ::coldShare, nowMillis, initialTokens, KEEP_MILLIS) }
        }
        return coldPacer
    }

    private fun coldShare(): Double = rateShare().let { if (it < 1.0) it * PARTIAL_COLD_SHARE else it }

    private fun paced(nowMillis: Long): Double = minOf(
        pacer?.available(nowMillis) ?: Double.MAX_VALUE,
        coldPacer(nowMillis)?.available(nowMillis) ?: Double.MAX_VALUE,
    )

    /** Records that the worker has stated, to this node or to another one, that it leaves. */
    fun onLeaving() {
        isLeaving = true
    }

    /** Number of requests that may be sent at once: free slots, and no more than the worker's rate limits allow. */
    fun startableRequests(nowMillis: Long): Int =
        floor(minOf(freeSlots(nowMillis), paced(nowMillis))).toInt().coerceAtLeast(0)

    /** Counts a request against the worker's rate limits. */
    fun onPaced(nowMillis: Long) {
        pacer?.onSent(nowMillis)
        coldPacer(nowMillis)?.onSent(nowMillis)
    }

    /** Whether the worker's rate limits allow a request now. */
    fun isWithinRate(nowMillis: Long): Boolean = paced(nowMillis) >= 1.0

    /** Records that the worker is reachable, which clears the suspicion. */
    fun onReachable() {
        consecutiveLosses = 0
        consecutiveInvalidStatuses = 0
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

    /**
     * Records a response with a status that HTTP does not have. Returns whether the worker should get no requests for a
     * while, because it has answered many in a row like this.
     */
    fun onInvalidStatus(): Boolean = ++consecutiveInvalidStatuses >= INVALID_STATUS_LIMIT

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
        // The limit of a cold worker is checked in windows of one second.
        const val KEEP_MILLIS = 1_000L

        // The requests of many nodes without a scheduler may fall into the same second by chance. With the whole of their
        // share, 6 of 30 simulated cases with up to 40 seeds each exceeded the limit of a cold worker by up to four requests.
        const val PARTIAL_COLD_SHARE = 0.25

        // About the duration of a request, after which a report says nothing about the current load.
        const val REPORT_DECAY_MILLIS = 700L

        // One request may get such a response from every worker, and its caller repeats it some times. Only a worker that
        // answers no other request in between either is of no use to them.
        const val INVALID_STATUS_LIMIT = 20

        // Healthy workers lose single connections as well.
        const val CONNECTION_LOSS_LIMIT = 3
    }
}
