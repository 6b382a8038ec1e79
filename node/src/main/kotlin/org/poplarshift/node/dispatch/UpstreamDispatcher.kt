package org.poplarshift.node.dispatch

import org.poplarshift.core.catalogue.Upstream
import org.poplarshift.core.catalogue.Worker
import org.poplarshift.core.verdict.RefusalReason
import org.poplarshift.core.verdict.Verdict

/** Selects the worker for a request, and queues the request while no worker has free capacity. */
interface UpstreamDispatcher {
    /** Waits for free capacity at a worker of [upstream]. The caller must release the grant. */
    suspend fun acquire(upstream: Upstream, ticket: DispatchTicket): DispatchDecision
}

/** The outcome of dispatching a request. */
sealed interface DispatchDecision {
    /** The request may be sent to the worker of [grant]. */
    data class Granted(val grant: WorkerGrant) : DispatchDecision

    /** The request was not sent. */
    data class Refused(val reason: RefusalReason, val retryAfterMillis: Long) : DispatchDecision
}

/** Capacity for one request at [worker]. */
interface WorkerGrant {
    val worker: Worker

    /**
     * Frees the capacity and reports how the request ended.
     *
     * @param firstByteMillis time until the first byte of the response, or null when none was received
     */
    fun release(verdict: Verdict, firstByteMillis: Long?)

    /**
     * Waits until the check whether the worker crashed on the request has finished and a crash has been reported to the
     * reachable peers. It runs after [release] and before the caller receives an error, so that a retry of the caller
     * cannot reach a peer before the crash report.
     */
    suspend fun awaitCrashReport() = Unit
}

/**
 * The properties of a request that the dispatcher uses.
 *
 * @property costTokens the estimated prompt tokens plus the requested maximum of generated tokens
 * @property fingerprint SHA-256 of the organisation and the canonical body, in hexadecimal digits
 * @property prefix the first characters of the prompt, for prefix affinity; empty for plain services
 * @property excludedWorkers workers that have failed this request
 * @property deadlineMillis maximum time in the queue
 */
data class DispatchTicket(
    val organisation: String,
    val weight: Double,
    val costTokens: Long,
    val fingerprint: String,
    val prefix: String = "",
    val excludedWorkers: Set<String> = emptySet(),
    val deadlineMillis: Long = 2_000,
)
