package org.poplarshift.core.quarantine

/** A simulated node that dispatches requests with the quarantine classes of the core. */
class SimulatedNode(val name: String, private val fleet: SimulatedFleet) {
    val table = QuarantineTable(retentionMillis = 3_600_000)
    private val holds = WorkerHoldTable()
    private val inFlight = mutableMapOf<String, Int>()
    private val now: Long
        get() = fleet.time.nowMillis
    private val peers: List<SimulatedNode>
        get() = fleet.nodes - this

    fun handle(request: SimulatedRequest, attempt: Int = 1, respond: (SimulatedResponse) -> Unit) {
        when (val status = table.statusOf(request.fingerprint, now)) {
            SuspectStatus.Quarantined -> respond(SimulatedResponse.QUARANTINED)
            SuspectStatus.Clear -> dispatchShared(request, attempt, emptySet(), respond)
            is SuspectStatus.Suspect -> when (fleet.policy) {
                SuspectPolicy.EXCLUSIVE_SUSPECTS -> dispatchExclusively(request, attempt, status.workers, respond)
                SuspectPolicy.ONE_SUSPECT_PER_WORKER ->
                    dispatchShared(request, attempt, status.workers + fleet.workersWithSuspects(), respond)

                else -> dispatchShared(request, attempt, status.workers, respond)
            }
        }
    }

    private fun dispatchShared(
        request: SimulatedRequest,
        attempt: Int,
        excluded: Set<String>,
        respond: (SimulatedResponse) -> Unit,
    ) {
        val usable = fleet.usableWorkers().filter { it !in excluded && !holds.isHeld(it, now) }
        if (usable.isEmpty()) return respond(SimulatedResponse.UNAVAILABLE)
        run(request, usable.random(fleet.random), attempt, respond) {}
    }

    private fun dispatchExclusively(
        request: SimulatedRequest,
        attempt: Int,
        excluded: Set<String>,
        respond: (SimulatedResponse) -> Unit,
    ) {
        val held = holds.heldWorkers(now)
        val worker = (fleet.usableWorkers() - excluded - held).randomOrNull(fleet.random)
        if (worker == null || held.size >= HoldLimit.maximumHolds(SimulatedFleet.WORKERS.size)) {
            return respond(SimulatedResponse.UNAVAILABLE)
        }
        val hold = WorkerHold(worker, name, request.fingerprint)
        val holdAttempt = HoldAttempt(hold, peers.map { it.name }.toSet())
        holds.place(hold, 0, now)
        requestHold(holdAttempt)
        awaitExclusive(holdAttempt, request, attempt, now + 10_000, respond)
    }

    private fun requestHold(holdAttempt: HoldAttempt) = peers.forEach { peer ->
        fleet.send {
            val response = peer.holds.place(holdAttempt.hold, peer.inFlight[holdAttempt.hold.worker] ?: 0, now)
            fleet.send { holdAttempt.onResponse(peer.name, response) }
        }
    }

    private fun awaitExclusive(
        holdAttempt: HoldAttempt,
        request: SimulatedRequest,
        attempt: Int,
        deadline: Long,
        respond: (SimulatedResponse) -> Unit,
    ) {
        val worker = holdAttempt.hold.worker
        when {
            worker !in fleet.usableWorkers() || holdAttempt.isDenied || now >= deadline -> {
                release(holdAttempt.hold)
                respond(SimulatedResponse.UNAVAILABLE)
            }

            holdAttempt.mayRun(inFlight[worker] ?: 0) -> {
                var isRunning = true
                renewWhile(holdAttempt) { isRunning }
                run(request, worker, attempt, respond) {
                    isRunning = false
                    release(holdAttempt.hold)
                }
            }

            else -> fleet.time.after(WorkerHoldTable.RENEWAL_MILLIS) {
                holds.place(holdAttempt.hold, 0, now)
                requestHold(holdAttempt)
                awaitExclusive(holdAttempt, request, attempt, deadline, respond)
            }
        }
    }

    private fun renewWhile(holdAttempt: HoldAttempt, isRunning: () -> Boolean) {
        fleet.time.after(1_000) {
            if (!isRunning()) return@after
            holds.place(holdAttempt.hold, 0, now)
            requestHold(holdAttempt)
            renewWhile(holdAttempt, isRunning)
        }
    }

    private fun release(hold: WorkerHold) {
        holds.release(hold)
        peers.forEach { peer -> fleet.send { peer.holds.release(hold) } }
    }

    private fun run(
        request: SimulatedRequest,
        worker: String,
        attempt: Int,
        respond: (SimulatedResponse) -> Unit,
        onEnd: () -> Unit,
    ) {
        inFlight.merge(worker, 1, Int::plus)
        fleet.start(this, request, worker) { completed ->
            inFlight.merge(worker, -1, Int::plus)
            onEnd()
            if (completed) {
                broadcast(table.onCompleted(request.fingerprint, now)) {}
                respond(SimulatedResponse.DONE)
            } else {
                onWorkerCrash(request, worker, attempt, respond)
            }
        }
    }

    private fun onWorkerCrash(
        request: SimulatedRequest,
        worker: String,
        attempt: Int,
        respond: (SimulatedResponse) -> Unit,
    ) {
        if (fleet.policy == SuspectPolicy.WORKER_ONLY) return respond(SimulatedResponse.FAILED)
        broadcast(table.onWorkerCrash(request.fingerprint, worker, now)) {
            if (attempt < 3) handle(request, attempt + 1, respond) else respond(SimulatedResponse.FAILED)
        }
    }

    private fun broadcast(update: QuarantineUpdate, onAcknowledged: () -> Unit) {
        if (update.isEmpty) return onAcknowledged()
        var unacknowledged = peers.size
        peers.forEach { peer ->
            fleet.send {
                peer.table.merge(update, now)
                fleet.send { if (--unacknowledged == 0) onAcknowledged() }
            }
        }
    }
}
