package org.poplarshift.serving.stream

import io.github.oshai.kotlinlogging.KotlinLogging
import io.micrometer.core.instrument.MeterRegistry
import org.poplarshift.core.stream.StreamOrigin

/** Counts by source how the origins of streams were determined, and logs those that this node did not know. */
class StreamOriginRecorder(private val registry: MeterRegistry) {
    /** Records that [source] has determined the [origin] of [stream] in [durationMillis] milliseconds. */
    fun onLookup(stream: String?, source: StreamOriginSource, origin: StreamOrigin?, durationMillis: Long) {
        registry.counter("stream_origin_lookups", "source", source.name.lowercase()).increment()
        if (source == StreamOriginSource.LOCAL) return
        logger.atInfo {
            message = "streams: origin of a stream looked up"
            payload = mapOf(
                "stream" to stream,
                "source" to source.name.lowercase(),
                "service" to origin?.service,
                "software_version" to origin?.softwareVersion,
                "duration_ms" to durationMillis,
            )
        }
    }

    private companion object {
        val logger = KotlinLogging.logger {}
    }
}
