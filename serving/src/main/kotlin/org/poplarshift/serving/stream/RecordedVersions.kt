package org.poplarshift.serving.stream

import org.poplarshift.core.stream.StreamOrigin

/** The software versions that the log records: a stream can only have begun at one of them, see [StreamOrigin]. */
interface RecordedVersions {
    /** Whether this node knows that the log records [softwareVersion] of [service]. */
    fun isRecorded(service: String, softwareVersion: String): Boolean

    /** Returns the versions of [service] that this node knows to be recorded. */
    fun recorded(service: String): Set<String>

    /**
     * Returns the recorded versions of [services] as of the time of the call, read from the log.
     *
     * Returns null if the log does not answer within a short time.
     */
    suspend fun confirmed(services: Set<String>): Set<StreamOrigin>?

    /** Calls [listener] with the name of a service each time that a further version of it becomes recorded. */
    fun onGrowth(listener: (service: String) -> Unit)
}
