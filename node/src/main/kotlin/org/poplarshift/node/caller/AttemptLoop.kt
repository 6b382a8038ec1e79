package org.poplarshift.node.caller

import io.github.oshai.kotlinlogging.KotlinLogging
import org.poplarshift.core.retry.RetryBudgets
import org.poplarshift.core.retry.RetryDecision
import org.poplarshift.core.retry.RetrySequence
import org.poplarshift.core.verdict.RefusalReason
import org.poplarshift.core.verdict.Verdict
import org.poplarshift.node.dispatch.DispatchDecision
import org.poplarshift.node.dispatch.UpstreamDispatcher
import org.poplarshift.node.dispatch.WorkerGrant
import org.poplarshift.node.forward.UpstreamClient
import org.poplarshift.node.forward.UpstreamRequest
import org.poplarshift.node.http.ErrorResponse
import org.poplarshift.serving.MonotonicClock

/** Sends a request to a worker and retries it at other workers while [RetrySequence] allows it. */
class AttemptLoop(
    private val dispatcher: UpstreamDispatcher,
    private val client: UpstreamClient,
    private val metrics: CallerMetrics,
    private val clock: MonotonicClock,
    private val budgets: RetryBudgets = RetryBudgets(),
) {
    /** Runs [request] and forwards the response to [sink]. */
    suspend fun run(request: OnlineRequest, sink: CallerSink, progress: AttemptProgress): OnlineResult {
        val sequence = RetrySequence(request.isIdempotent, budgets.budgetOf(request.upstream))
        val failedWorkers = LinkedHashSet<String>()
        var lastFailure: RefusalReason? = null
        while (true) {
            val decision = dispatcher.acquire(request.upstream, request.ticket(failedWorkers))
            if (decision is DispatchDecision.Refused) {
                return OnlineResult.Failed(refusal(decision, lastFailure, sequence))
            }
            val grant = (decision as DispatchDecision.Granted).grant
            val verdict = attempt(request, grant, failedWorkers.size, sink, progress)
            val next = sequence.afterAttempt(verdict, sink.hasForwardedBytes)
            progress.end(sequence.ran)
            when (next) {
                is RetryDecision.Complete -> return OnlineResult.Completed
                is RetryDecision.GiveUp -> return OnlineResult.Failed(failure(request, grant, next))
                is RetryDecision.Retry -> metrics.recordRetry(next.reason)
            }
            lastFailure = next.reason
            failedWorkers += grant.worker.id
        }
    }

    private suspend fun attempt(
        request: OnlineRequest,
        grant: WorkerGrant,
        earlierAttempts: Int,
        sink: CallerSink,
        progress: AttemptProgress,
    ): Verdict {
        val startedMillis = clock.millis()
        var verdict: Verdict = Verdict.MayHaveRun(RefusalReason.CANCELLED)
        val timedSink = FirstByteSink(sink, clock)
        try {
            progress.begin()
            // Each attempt has its own id, so that a response to an earlier attempt is not accepted for this one.
            verdict = client.send(grant.worker, upstreamRequest(request, earlierAttempts), timedSink)
        } finally {
            grant.release(verdict, timedSink.firstByteMillis?.let { it - startedMillis })
        }
        grant.awaitCrashReport()
        return verdict
    }

    private fun upstreamRequest(request: OnlineRequest, earlierAttempts: Int) = UpstreamRequest(
        requestId = "${request.requestId}-$earlierAttempts",
        method = request.method,
        path = request.path,
        headers = request.headers,
        body = request.body,
        timeouts = request.upstream.timeouts,
        kind = request.upstream.kind,
    )

    private fun failure(request: OnlineRequest, grant: WorkerGrant, next: RetryDecision.GiveUp): ErrorResponse {
        metrics.recordRetryStop(next.stop)
        log.info {
            "caller: request ${request.requestId} failed at ${grant.worker.id}: ${next.reason.code}, ${next.stop.code}"
        }
        return ErrorResponse(next.reason, "the upstream gave no complete response", next.ran)
    }

    // After a failed attempt, its reason is more informative than the lack of another worker.
    private fun refusal(decision: DispatchDecision.Refused, lastFailure: RefusalReason?, sequence: RetrySequence) =
        ErrorResponse(
            reason = lastFailure ?: decision.reason,
            message = if (lastFailure == null) "no worker has room" else "no other worker has room for a retry",
            ran = sequence.ran,
            retryAfterMillis = decision.retryAfterMillis,
        )

    private companion object {
        val log = KotlinLogging.logger {}
    }
}
