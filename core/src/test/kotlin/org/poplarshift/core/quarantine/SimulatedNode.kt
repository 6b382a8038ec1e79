package org.poplarshift.core.quarantine

/** A node that dispatches by the quarantine rules of the core. */
class SimulatedNode(val name: String, private val fleet: SimulatedFleet) {
    val table = QuarantineTable(retentionMillis = 3_600_000)
    private val holds = WorkerHolds()
    private val inFlight = mutableMapOf<String, Int>()
    private val now: Long
        get() = fleet.time.nowMillis
    private val peers: List<SimulatedNode>
        get() = fleet.nodes - this

    fun handle(request: SimulatedRequest, attempt: Int = 1, respond: (SimulatedResponse) -> Unit) {
        when (val status = table.statusOf(request.fingerprint, now)) {
            SuspectStatus.Quarantined -> respond(SimulatedResponse.QUARANTINED)
            SuspectStatus.Clear -> dispatchShared(request, attempt, emptySet(), respond)
            is SuspectStatus.Suspect -> when (fleet.rule) {
                BlameRule.SOLO_SUSPECTS -> hold(request, attempt, status.workers, respond)
                BlameRule.ONE_SUSPECT_PER_WORKER ->
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

    private fun hold(
        request: SimulatedRequest,
        attempt: Int,
        excluded: Set<String>,
        respond: (SimulatedResponse) -> Unit,
    ) {
        val held = holds.heldWorkers(now)
        val worker = (fleet.usableWorkers() - excluded - held).randomOrNull(fleet.random)
        if (worker == null || held.size >= SoloLimit.maximumHolds(SimulatedFleet.WORKERS.size)) {
            return respond(SimulatedResponse.UNAVAILABLE)
        }
        val hold = WorkerHold(worker, name, request.fingerprint)
        val solo = SoloAttempt(hold, peers.map { it.name }.toSet())
        holds.place(hold, 0, now)
        ask(solo)
        awaitSolo(solo, request, attempt, now + 10_000, respond)
    }

    private fun ask(solo: SoloAttempt) = peers.forEach { peer ->
        fleet.send {
            val answer = peer.holds.place(solo.hold, peer.inFlight[solo.hold.worker] ?: 0, now)
            fleet.send { solo.onAnswer(peer.name, answer) }
        }
    }

    private fun awaitSolo(
        solo: SoloAttempt,
        request: SimulatedRequest,
        attempt: Int,
        deadline: Long,
        respond: (SimulatedResponse) -> Unit,
    ) {
        val worker = solo.hold.worker
        when {
            worker !in fleet.usableWorkers() || solo.isDenied || now >= deadline -> {
                release(solo.hold)
                respond(SimulatedResponse.UNAVAILABLE)
            }

            solo.mayRun(inFlight[worker] ?: 0) -> {
                var isRunning = true
                renewWhile(solo) { isRunning }
                run(request, worker, attempt, respond) {
                    isRunning = false
                    release(solo.hold)
                }
            }

            else -> fleet.time.after(WorkerHolds.RENEWAL_MILLIS) {
                holds.place(solo.hold, 0, now)
                ask(solo)
                awaitSolo(solo, request, attempt, deadline, respond)
            }
        }
    }

    private fun renewWhile(solo: SoloAttempt, isRunning: () -> Boolean) {
        fleet.time.after(1_000) {
            if (!isRunning()) return@after
            holds.place(solo.hold, 0, now)
            ask(solo)
            renewWhile(solo, isRunning)
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
        afterwards: () -> Unit,
    ) {
        inFlight.merge(worker, 1, Int::plus)
        fleet.start(this, request, worker) { completed ->
            inFlight.merge(worker, -1, Int::plus)
            afterwards()
            if (completed) {
                tell(table.onCompleted(request.fingerprint, now)) {}
                respond(SimulatedResponse.DONE)
            } else {
                onDeath(request, worker, attempt, respond)
            }
        }
    }

    private fun onDeath(request: SimulatedRequest, worker: String, attempt: Int, respond: (SimulatedResponse) -> Unit) {
        if (fleet.rule == BlameRule.WORKER_ONLY) return respond(SimulatedResponse.FAILED)
        tell(table.onDeath(request.fingerprint, worker, now)) {
            if (attempt < 3) handle(request, attempt + 1, respond) else respond(SimulatedResponse.FAILED)
        }
    }

    private fun tell(news: QuarantineNews, onAcknowledged: () -> Unit) {
        if (news.isEmpty) return onAcknowledged()
        var missing = peers.size
        peers.forEach { peer ->
            fleet.send {
                peer.table.merge(news, now)
                fleet.send { if (--missing == 0) onAcknowledged() }
            }
        }
    }
}
