package org.poplarshift.serving.observe

import io.github.oshai.kotlinlogging.KotlinLogging
import io.micrometer.core.instrument.MeterRegistry
import org.poplarshift.core.stream.StreamOrigin
import org.poplarshift.serving.forward.OnlineCall

/** Counts the streams that are resumed, by outcome, and logs those that can't be. */
class ResumedStreamRecorder(private val registry: MeterRegistry) {
    /** Records that a stream goes on at another worker within the same response. */
    fun onContinued() = count("continued", NO_REASON)

    /** Records that a stream goes on whose beginning a caller has received from an earlier request. */
    fun onTakenUp() = count("taken_up", NO_REASON)

    /** Records that [call], which resumes a stream that began at [origin] as far as is known, is refused for [reason]. */
    fun onRefused(call: OnlineCall, origin: StreamOrigin?, reason: String) {
        count("refused", reason)
        log("stream: a caller can't resume a stream", call, origin, call.resumeAfter, reason)
    }

    /** Records that the response to [call] ends after event [lastEventId], because no worker of [origin] takes it. */
    fun onBrokenOff(call: OnlineCall, origin: StreamOrigin, lastEventId: Long?, reason: String) {
        count("broken_off", reason)
        log("stream: broken off, no worker of its software version takes it", call, origin, lastEventId, reason)
    }

    private fun log(text: String, call: OnlineCall, origin: StreamOrigin?, lastEventId: Long?, reason: String) =
        logger.atWarn {
            message = text
            payload = mapOf(
                "request" to call.id,
                "stream" to call.streamId,
                "route" to call.route.name,
                "last_event" to lastEventId,
                "service" to origin?.service,
                "software_version" to origin?.softwareVersion,
                "reason" to reason,
            )
        }

    private fun count(outcome: String, reason: String) =
        registry.counter("streams_resumed", "outcome", outcome, "reason", reason).increment()

    private companion object {
        val logger = KotlinLogging.logger {}
        const val NO_REASON = "none"
    }
}
