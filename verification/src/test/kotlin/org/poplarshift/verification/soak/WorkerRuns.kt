package org.poplarshift.verification.soak

import io.vertx.core.MultiMap
import org.poplarshift.standins.worker.ReceivedRequest
import org.poplarshift.standins.worker.ResponseFault
import org.poplarshift.standins.worker.WorkerRun

/** A run of the request `id` at a worker. */
internal fun workerRun(
    requestId: String = "id",
    worker: String = "worker",
    softwareVersion: String = "v1",
    stamp: String = "stamp",
    startMillis: Long = 0,
    isEngine: Boolean = false,
    organisation: String = "free",
    request: ReceivedRequest = ReceivedRequest("GET", "/x", MultiMap.caseInsensitiveMultiMap(), ByteArray(0)),
) = WorkerRun(
    worker = worker,
    softwareVersion = softwareVersion,
    requestId = requestId,
    stamp = stamp,
    startMillis = startMillis,
    isEngine = isEngine,
    organisation = organisation,
    resumeAfter = 0,
    request = request,
    fault = ResponseFault.None,
)
