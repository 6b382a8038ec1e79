package org.poplarshift.serving.quarantine

/**
 * One run of a request at a worker.
 *
 * @property fingerprint identifies the request when it is sent again
 * @property promptParts ids of the parts of the prompt that other requests may have in common with this one
 * @property sentMillis monotonic time in milliseconds at which the request was sent to the worker
 * @property hasBegun whether the worker had begun to write its response
 * @property isSuspect whether the request may be the cause if the worker has crashed
 */
data class WorkerRun(
    val fingerprint: String,
    val worker: String,
    val requestId: String = "",
    val promptParts: List<String> = emptyList(),
    val sentMillis: Long = 0,
    val hasBegun: Boolean = false,
    val isSuspect: Boolean = true,
)
