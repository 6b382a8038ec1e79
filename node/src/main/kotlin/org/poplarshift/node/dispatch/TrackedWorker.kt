package org.poplarshift.node.dispatch

import org.poplarshift.core.admission.WorkerLoad
import org.poplarshift.core.catalogue.Worker
import org.poplarshift.core.routing.DecayedMean
import org.poplarshift.core.routing.LoadReport
import org.poplarshift.core.routing.WorkerCandidate
import org.poplarshift.core.routing.WorkerHealth
import org.poplarshift.core.routing.WorkerHealthSettings
import org.poplarshift.core.verdict.Verdict

/** A worker of the catalogue with its health and load as observed by this node. */
class TrackedWorker(var worker: Worker, settings: WorkerHealthSettings, createdMillis: Long) {
    val health = WorkerHealth(settings, createdMillis)
    val load = WorkerLoad()
    private val firstByte = DecayedMean()

    /** Number of online requests that other nodes run at this worker, as reported by them. */
    var peerOnline = 0

    /** Number of this node's unfinished requests at the worker. */
    val inFlight: Int
        get() = load.online + load.batch

    fun onReport(report: LoadReport, nowMillis: Long) {
        health.onReport(report, nowMillis)
        load.onReport(report)
    }

    fun onEnded(isBatch: Boolean, verdict: Verdict, firstByteMillis: Long?, nowMillis: Long) {
        load.onEnded(isBatch)
        health.onVerdict(verdict, nowMillis)
        if (firstByteMillis != null) firstByte.add(firstByteMillis, nowMillis)
    }

    fun candidate(isBounded: Boolean, nowMillis: Long) = WorkerCandidate(
        worker = worker.id,
        zone = worker.zone,
        capacity = if (isBounded) worker.capacity else Int.MAX_VALUE,
        load = load.onlineLoad(nowMillis),
        reportedLoad = load.reported,
        firstByteMillis = firstByte.value(nowMillis),
    )
}
