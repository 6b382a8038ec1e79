package org.poplarshift.serving.stream

import org.poplarshift.core.stream.StreamOrigin

/** Remembers where the newest streams of this node began. Streams that have begun at other nodes are unknown. */
class OwnStreamOrigins : StreamOrigins {
    private val origins = LinkedHashMap<String, StreamOrigin>()

    override fun onBegun(stream: String, origin: StreamOrigin) {
        origins.remove(stream)
        origins[stream] = origin
        if (origins.size > MAXIMUM_STREAMS) origins.remove(origins.keys.first())
    }

    override suspend fun find(stream: String?, services: Set<String>): StreamOrigin? = origins[stream]

    override fun isRecorded(service: String, softwareVersion: String): Boolean = true

    private companion object {
        // The streams that a node begins in about a minute.
        const val MAXIMUM_STREAMS = 4_096
    }
}
