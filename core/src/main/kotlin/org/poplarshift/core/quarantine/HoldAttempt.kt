package org.poplarshift.core.quarantine

/**
 * Gathers the answers of peers to one [WorkerHold] and decides when the suspect may run.
 *
 * A peer that can't be reached is left out: waiting for it would refuse the request for as long as a partition lasts.
 * While such a peer still reaches the worker, the suspect may not be alone there.
 */
class HoldAttempt(val hold: WorkerHold, peers: Set<String>) {
    private val pendingPeers = peers.toMutableSet()
    private val inFlightByPeer = mutableMapOf<String, Int>()

    /** Whether a peer keeps the worker for another suspect, so that this attempt must be given up. */
    var isDenied = false
        private set

    /** Takes the answer of [peer]; later answers replace earlier ones. */
    fun onResponse(peer: String, response: HoldResponse) {
        pendingPeers -= peer
        when (response) {
            HoldResponse.Denied -> isDenied = true
            is HoldResponse.Held -> inFlightByPeer[peer] = response.inFlight
        }
    }

    /** Takes that [peer] gave no response. */
    fun onUnreachable(peer: String) {
        pendingPeers -= peer
        inFlightByPeer -= peer
    }

    /** Whether no node has anything else in flight at the worker; [ownInFlight] is this node's count. */
    fun mayRun(ownInFlight: Int): Boolean =
        !isDenied && pendingPeers.isEmpty() && ownInFlight == 0 && inFlightByPeer.values.all { it == 0 }
}
