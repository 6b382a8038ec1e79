package org.poplarshift.core.quarantine

/**
 * Gathers the answers of peers to one [WorkerHold] and decides when the suspect may run.
 *
 * A peer that can't be reached is left out: waiting for it would refuse the request for as long as a partition lasts.
 * While such a peer still reaches the worker, the suspect may not be alone there.
 */
class SoloAttempt(val hold: WorkerHold, peers: Set<String>) {
    private val waiting = peers.toMutableSet()
    private val inFlight = mutableMapOf<String, Int>()

    /** Whether a peer keeps the worker for another suspect, so that this attempt must be given up. */
    var isDenied = false
        private set

    /** Takes the answer of [peer]; later answers replace earlier ones. */
    fun onAnswer(peer: String, answer: HoldAnswer) {
        waiting -= peer
        when (answer) {
            HoldAnswer.Denied -> isDenied = true
            is HoldAnswer.Held -> inFlight[peer] = answer.inFlight
        }
    }

    /** Takes that [peer] gave no answer. */
    fun onUnreachable(peer: String) {
        waiting -= peer
        inFlight -= peer
    }

    /** Whether no node has anything else in flight at the worker; [ownInFlight] is this node's count. */
    fun mayRun(ownInFlight: Int): Boolean =
        !isDenied && waiting.isEmpty() && ownInFlight == 0 && inFlight.values.all { it == 0 }
}
