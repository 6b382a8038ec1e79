package org.poplarshift.serving.stream

import org.poplarshift.core.stream.StreamOrigin

/** Takes the place of the versions in the log: none is known. */
internal object NoRecordedVersions : RecordedVersions {
    override fun isRecorded(service: String, softwareVersion: String): Boolean = false

    override fun recorded(service: String): Set<String> = emptySet()

    override suspend fun confirmed(services: Set<String>): Set<StreamOrigin>? = null

    override fun onGrowth(listener: (service: String) -> Unit) = Unit
}
