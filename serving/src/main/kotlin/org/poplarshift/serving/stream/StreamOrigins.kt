package org.poplarshift.serving.stream

import org.poplarshift.core.stream.StreamOrigin

/** Remembers where streams began, so that callers can resume them at any node. */
interface StreamOrigins {
    /** Records that the first event of the stream that the request [stream] has started is about to be delivered. */
    fun onBegun(stream: String, origin: StreamOrigin)

    /**
     * Returns where the stream that the request [stream] has started began, or null if it can't be determined.
     *
     * @param stream id of the request that delivered the first event, or null if the caller does not state it
     * @param services the services at which the stream may have begun
     */
    suspend fun find(stream: String?, services: Set<String>): StreamOrigin?

    /** Whether streams may begin at workers of [service] with [softwareVersion], see [StreamOrigin]. */
    fun isRecorded(service: String, softwareVersion: String): Boolean

    /** Whether streams of the routes with [service] may have begun at several versions, as far as this node knows. */
    fun hasSeveralVersions(service: String): Boolean
}
