package org.poplarshift.node.idempotency

import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.poplarshift.core.configuration.KeyDirectory
import org.poplarshift.core.idempotency.RequestDecision
import org.poplarshift.core.idempotency.RequestKey
import org.poplarshift.core.idempotency.RequestRecord
import org.poplarshift.core.verdict.RefusalReason
import org.poplarshift.core.verdict.RunStatus
import org.poplarshift.node.NodeContext
import org.poplarshift.node.NodePart
import org.poplarshift.node.WallClock
import org.poplarshift.node.configuration.ConfigurationStore
import org.poplarshift.node.log.WriteResult
import org.poplarshift.node.peer.PeerDirectory
import java.util.UUID
import kotlin.time.Duration.Companion.hours

/**
 * Stores the ledger in the stream `requests`. A request runs only after its start has been read back from the log as
 * the first with its key, so that only one of the nodes that receive the request runs it.
 */
class LogRequestLedger(
    private val context: NodeContext,
    private val requestLog: RequestLog,
    private val configuration: ConfigurationStore,
    private val peers: PeerDirectory,
    private val wallClock: WallClock = WallClock.SYSTEM,
) : RequestLedger,
    NodePart {
    override suspend fun start() {
        context.scope.launch { requestLog.follow() }
        context.scope.launch {
            while (isActive) {
                delay(FORGET_PERIOD_MILLIS)
                requestLog.index.removeExpired(wallClock.millis())
            }
        }
    }

    override suspend fun begin(organisation: String, idempotencyKey: String, digest: String): LedgerDecision {
        val key = RequestKey(organisation, KeyDirectory.hash(idempotencyKey))
        val known = decide(key, digest, requestId = null)
        if (known != RequestDecision.Start) return decisionOf(known)
        val started = startRecord(key, digest)
        return when (val written = requestLog.writeStart(started)) {
            is WriteResult.NotWritten -> logUnavailable(RunStatus.NOT_RUN)
            is WriteResult.Unknown -> abandonStart(started)
            is WriteResult.Written -> readBack(key, started, written.offset)
        }
    }

    override suspend fun finish(started: LedgerDecision.Run, status: Int, contentType: String, body: String) {
        val requestId = requestIdOf(started) ?: return
        val record = RequestRecord.RequestFinished(
            organisation = started.organisation,
            keyHash = started.keyHash,
            requestId = requestId,
            status = status,
            contentType = contentType,
            body = body,
        )
        context.scope.launch { requestLog.writeEnd(record) }
    }

    override suspend fun abandon(started: LedgerDecision.Run) {
        val requestId = requestIdOf(started) ?: return
        writeAbandoned(started.organisation, started.keyHash, requestId)
    }

    private suspend fun readBack(
        key: RequestKey,
        started: RequestRecord.RequestStarted,
        offset: Long,
    ): LedgerDecision {
        if (!requestLog.awaitApplied(offset)) return abandonStart(started)
        val decision = decide(key, started.digest, started.requestId)
        if (decision is RequestDecision.Run) {
            return LedgerDecision.Run(key.organisation, key.keyHash, decision.startedOffset)
        }
        return decisionOf(decision)
    }

    private suspend fun decisionOf(decision: RequestDecision): LedgerDecision = when (decision) {
        is RequestDecision.Replay -> replay(decision)
        RequestDecision.ContentMismatch ->
            LedgerDecision.Refused(RefusalReason.KEY_REUSED_WITH_OTHER_CONTENT, RunStatus.NOT_RUN)
        RequestDecision.OutcomeUnknown -> LedgerDecision.Refused(RefusalReason.OUTCOME_UNKNOWN, RunStatus.MAY_HAVE_RUN)
        // The key of another request expired or was released between the two decisions, so the caller can retry.
        RequestDecision.InProgress, RequestDecision.Start, is RequestDecision.Run ->
            LedgerDecision.Refused(RefusalReason.REQUEST_IN_PROGRESS, RunStatus.MAY_HAVE_RUN)
    }

    private suspend fun replay(decision: RequestDecision.Replay): LedgerDecision {
        val response =
            requestLog.readResponse(decision.finishedOffset, decision.requestId) ?: return logUnavailable(RunStatus.RAN)
        return LedgerDecision.Replay(response.status, response.contentType, response.body)
    }

    // The request did not run, but its start may still reach the log and would then block the key.
    private fun abandonStart(started: RequestRecord.RequestStarted): LedgerDecision {
        writeAbandoned(started.organisation, started.keyHash, started.requestId)
        return logUnavailable(RunStatus.NOT_RUN)
    }

    private fun writeAbandoned(organisation: String, keyHash: String, requestId: String) {
        val record = RequestRecord.RequestAbandoned(organisation, keyHash, requestId)
        context.scope.launch { requestLog.writeEnd(record) }
    }

    private fun logUnavailable(ran: RunStatus) = LedgerDecision.Refused(RefusalReason.LOG_UNAVAILABLE, ran)

    private fun decide(key: RequestKey, digest: String, requestId: String?): RequestDecision =
        requestLog.index.decide(key, digest, requestId, wallClock.millis(), ::isLive)

    private fun requestIdOf(started: LedgerDecision.Run): String? =
        requestLog.index.requestIdOf(RequestKey(started.organisation, started.keyHash), started.offset)

    private fun isLive(node: String): Boolean =
        node == context.incarnation || peers.peers.value.any { it.incarnation == node }

    private fun startRecord(key: RequestKey, digest: String) = RequestRecord.RequestStarted(
        organisation = key.organisation,
        keyHash = key.keyHash,
        digest = digest,
        requestId = UUID.randomUUID().toString(),
        node = context.incarnation,
        atMillis = wallClock.millis(),
        windowMillis = configuration.current.value.catalogue?.retention?.idempotencyHours?.hours?.inWholeMilliseconds
            ?: DEFAULT_WINDOW_MILLIS,
    )

    private companion object {
        const val FORGET_PERIOD_MILLIS = 60_000L
        const val DEFAULT_WINDOW_MILLIS = 24 * 3_600_000L
    }
}
