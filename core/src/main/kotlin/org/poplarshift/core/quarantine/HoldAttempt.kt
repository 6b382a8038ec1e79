package org.poplarshift.core.quarantine

/**
 * Collects the responses of peers to one [WorkerHold] and decides when the suspect may run.
 *
 * Unreachable peers are ignored: waiting for them would block the request for the duration of a network partition.
 * If such a peer can still reach the worker, the suspect may share the worker with requests of that peer.
 */
class HoldAttempt(val hold: WorkerHold, peers: Set<String>) {
    private val pendingPeers = peers.toMutableSet()
    private val inFlightByPeer = mutableMapOf<String, Int>()

    /** Whether a peer holds the worker for another suspect, so that this attempt must be abandoned. */
    var isDenied = false
        private set

    /** Records the response of [peer]. The in-flight count of a later response replaces the earlier one. */
    fun onResponse(peer: String, response: HoldResponse) {
        pendingPeers -= peer
        when (response) {
            HoldResponse.Denied -> isDenied = true
            is HoldResponse.Held -> inFlightByPeer[peer] = response.inFlight
        }
    }

    /** Records that [peer] did not respond, and ignores its earlier in-flight count. */
    fun onUnreachable(peer: String) {
        pendingPeers -= peer
        inFlightByPeer -= peer
    }

    /**
     * Whether the hold was not denied, all reachable peers have responded, and no request is in flight at the worker.
     *
     * @param ownInFlight the number of requests that this node has in flight at the worker
     */
    fun mayRun(ownInFlight: Int): Boolean =
        !isDenied && pendingPeers.isEmpty() && ownInFlight == 0 && inFlightByPeer.values.all { it == 0 }
}
