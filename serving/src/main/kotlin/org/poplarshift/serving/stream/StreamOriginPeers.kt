package org.poplarshift.serving.stream

import org.poplarshift.core.stream.StreamOrigin
import org.poplarshift.serving.fleet.FleetMember

/** Exchanges the origins of streams with other nodes. */
interface StreamOriginPeers {
    /**
     * Reports [origins], by stream, to [replica].
     *
     * Returns an id of the process that has stored them, which differs after a restart, or null if there is no response.
     */
    suspend fun report(replica: FleetMember, origins: Map<String, StreamOrigin>): String?

    /** Returns the origin of [stream] if [replica] responds and holds it, otherwise null. */
    suspend fun find(replica: FleetMember, stream: String): StreamOrigin?
}
