package org.poplarshift.serving.scheduling

import org.poplarshift.core.dispatch.FleetWorker
import org.poplarshift.core.dispatch.LoadBalancer
import org.poplarshift.core.stream.VersionRequirement
import org.poplarshift.serving.forward.DispatchRequest

/**
 * Determines which workers run a software version that a request requires.
 *
 * @param isRecorded returns whether the log states the software version of a service
 */
class VersionFilter(
    private val workers: LoadBalancer,
    private val isRecorded: (service: String, softwareVersion: String) -> Boolean,
) {
    /** Whether [worker] may get [request]. */
    fun accepts(request: DispatchRequest, worker: FleetWorker): Boolean = accepts(request, worker.softwareVersion)

    /** Returns the ids of the registered workers of the service that must not get [request]. */
    fun excluded(request: DispatchRequest): Set<String> {
        if (request.versions == VersionRequirement.Any) return emptySet()
        val others = workers.softwareVersions(request.service).filterNot { accepts(request, it) }
        return if (others.isEmpty()) emptySet() else workers.idsOf(others.toSet(), request.service)
    }

    private fun accepts(request: DispatchRequest, softwareVersion: String): Boolean =
        when (val required = request.versions) {
            VersionRequirement.Any -> true
            VersionRequirement.Recorded -> isRecorded(request.service, softwareVersion)
            is VersionRequirement.Only -> softwareVersion == required.softwareVersion
        }
}
