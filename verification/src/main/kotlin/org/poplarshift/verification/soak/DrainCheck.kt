package org.poplarshift.verification.soak

/** Checks that leaving workers get no new requests from nodes that know of it. */
class DrainCheck(private val ledger: SoakLedger, private val disturbances: Disturbances) {
    /** Checks the runs of all calls against [drains]. */
    fun check(drains: List<Drain>) = drains.forEach { drain -> ledger.calls.forEach { check(drain, it) } }

    private fun check(drain: Drain, call: SentCall) {
        val late = call.runs.find { it.worker == drain.worker && it.startMillis > drain.fromMillis + DRAIN_MILLIS }
        if (late == null || !disturbances.isInTouch(call.node, drain.fromMillis, late.startMillis)) return
        ledger.report(
            Promise.DRAINED_WORKER,
            "${drain.worker} leaves since ${drain.fromMillis}: ${call.describe()}",
        )
    }

    private companion object {
        // The time within which nodes must stop sending requests to a worker that is marked as draining.
        const val DRAIN_MILLIS = 2_000L
    }
}

/** The time at which the entry of [worker] was marked as draining, in monotonic milliseconds. */
data class Drain(val worker: String, val fromMillis: Long)
