package org.poplarshift.node.dispatch

import org.poplarshift.core.catalogue.Worker
import org.poplarshift.core.verdict.Verdict

/**
 * Capacity for one request at a worker. A second release has no effect.
 *
 * @param onRelease called with the verdict and the time to the first byte when the grant is released
 * @param awaitReport implements [awaitCrashReport]
 */
class DefaultWorkerGrant(
    override val worker: Worker,
    private val onRelease: (Verdict, Long?) -> Unit,
    private val awaitReport: suspend () -> Unit,
) : WorkerGrant {
    private var isReleased = false

    override fun release(verdict: Verdict, firstByteMillis: Long?) {
        if (isReleased) return
        isReleased = true
        onRelease(verdict, firstByteMillis)
    }

    override suspend fun awaitCrashReport() = awaitReport()
}
