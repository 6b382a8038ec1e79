package org.poplarshift.node.dispatch

import org.poplarshift.core.catalogue.Upstream
import org.poplarshift.core.catalogue.Worker
import org.poplarshift.core.verdict.RefusalReason
import org.poplarshift.core.verdict.Verdict

/** Chooses the worker for a request; queues the request when no worker has room. */
interface UpstreamDispatcher {
    /** Waits for room at a worker of [upstream]. The caller of this function must release a granted worker. */
    suspend fun acquire(upstream: Upstream, ticket: DispatchTicket): DispatchDecision
}

/** Whether a request gets a worker. */
sealed interface DispatchDecision {
    /** The request may be sent to the worker of [grant]. */
    data class Granted(val grant: WorkerGrant) : DispatchDecision

    /** The request was not sent. */
    data class Refused(val reason: RefusalReason, val retryAfterMillis: Long) : DispatchDecision
}

/** Room for one request at [worker]. */
interface WorkerGrant {
    val worker: Worker

    /**
     * Gives the room back and reports how the request ended.
     *
     * @param firstByteMillis time until the first byte of the answer, or null when none came
     */
    fun release(verdict: Verdict, firstByteMillis: Long?)

    /**
     * Waits until it is known whether the worker died with the request, and until reachable peers know it too. Called
     * after [release] and before the caller gets an error, so that a caller that resends can't be faster than the news.
     */
    suspend fun awaitCrashReport() = Unit
}

/**
 * What the dispatcher needs to know about a request.
 *
 * @property costTokens the estimated prompt tokens plus the requested maximum of generated tokens
 * @property fingerprint SHA-256 of the organisation and the canonical body, in hexadecimal digits
 * @property prefix the first characters of the prompt, for prefix affinity; empty for plain services
 * @property excludedWorkers workers that have failed this request
 * @property deadlineMillis how long the request may wait for room
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
