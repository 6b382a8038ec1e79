package org.poplarshift.node.batch

import kotlinx.coroutines.delay
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.poplarshift.core.batch.BatchItem
import org.poplarshift.core.batch.BatchRun
import org.poplarshift.core.batch.JobState
import org.poplarshift.core.verdict.RefusalReason
import org.poplarshift.core.verdict.Verdict
import org.poplarshift.node.configuration.ConfigurationStore
import org.poplarshift.wire.WireJson
import java.util.UUID

/** Executes one run: reads the item from the log, sends it to a worker and maps the response. */
class RunExecution(
    private val store: ConfigurationStore,
    private val batchLog: BatchLog,
    private val bodies: BatchBodies,
    private val targets: ItemTargets,
    private val startRecorder: StartRecorder,
    private val placements: BatchPlacements,
    private val peerTasks: PeerTasks,
) {
    /** Reads an item. Returns null when the item has ended or the log is unavailable. */
    suspend fun read(job: JobState, item: Int): BatchItem? = bodies.item(job, item)

    /**
     * Runs the item of [run] at [placement], which is reserved.
     *
     * @param holder identifies this node's claim on the job's slot
     * @param mayRun whether the run is still active, checked immediately before the item is sent
     */
    suspend fun execute(run: BatchRun, placement: BatchPlacement, holder: String, mayRun: () -> Boolean): EndedRun {
        var isReserved = true
        try {
            val item = batchLog.index.findUpload(run.uploadId)?.let { bodies.item(it, run.item) }
                ?: return notRun(RefusalReason.LOG_UNAVAILABLE)
            val target = targetOf(run, item) ?: return refused(item, RefusalReason.FORBIDDEN_ROUTE)
            if (!run.idempotent) {
                when (startRecorder.start(run, holder)) {
                    StartResult.Started -> Unit
                    StartResult.StartedBefore -> return startedBefore(item)
                    StartResult.Ended -> return EndedRun(verdict = null)
                    StartResult.LogUnavailable -> return notRun(RefusalReason.LOG_UNAVAILABLE)
                }
            }
            if (!mayRun()) return EndedRun(verdict = null)
            placements.unreserve(placement)
            isReserved = false
            return toEndedRun(item, peerTasks.run(placement, task(run, placement, item, target)))
        } finally {
            if (isReserved) placements.unreserve(placement)
        }
    }

    private fun targetOf(run: BatchRun, item: BatchItem): ItemTarget? {
        val catalogue = store.current.value.catalogue ?: return null
        val found = targets.find(catalogue, run.organisation, item.path, item.body) as? ItemTargetResult.Found
        return found?.target?.takeIf { it.upstream.id == run.upstream }
    }

    private fun task(run: BatchRun, placement: BatchPlacement, item: BatchItem, target: ItemTarget) = BatchTask(
        taskId = UUID.randomUUID().toString(),
        organisation = run.organisation,
        upstream = run.upstream,
        worker = placement.worker,
        path = target.path,
        body = withoutStreaming(item.body).toString(),
        idempotent = run.idempotent,
        costTokens = target.costTokens,
        fingerprint = target.fingerprint,
    )

    // A result is a single document, so streaming is disabled even for items copied from streaming requests.
    private fun withoutStreaming(body: JsonElement): JsonElement =
        if (body is JsonObject && "stream" in body) JsonObject(body - "stream" - "stream_options") else body

    private suspend fun toEndedRun(item: BatchItem, outcome: TaskOutcome): EndedRun = when (outcome) {
        is TaskOutcome.Answered -> EndedRun(Verdict.Answered(outcome.status), item.id, json(outcome.body))
        is TaskOutcome.MayHaveRun -> EndedRun(Verdict.MayHaveRun(outcome.reason), item.id)
        is TaskOutcome.NotRun -> notRun(outcome.reason)
        TaskOutcome.Yielded -> EndedRun(verdict = null)
        TaskOutcome.Quarantined -> refused(item, RefusalReason.QUARANTINED)
    }

    private fun json(text: String): JsonElement = try {
        WireJson.lenient.parseToJsonElement(text)
    } catch (_: SerializationException) {
        JsonPrimitive(text)
    }

    // The pause prevents a busy loop of retries while a worker or the log is unavailable.
    private suspend fun notRun(reason: RefusalReason): EndedRun {
        delay(NOT_RUN_PAUSE_MILLIS)
        return EndedRun(Verdict.NotRun(reason))
    }

    private fun startedBefore(item: BatchItem) = EndedRun(Verdict.MayHaveRun(RefusalReason.OUTCOME_UNKNOWN), item.id)

    private fun refused(item: BatchItem, reason: RefusalReason) =
        EndedRun(Verdict.Answered(PERMANENT_STATUS), item.id, reason = reason)

    private companion object {
        const val NOT_RUN_PAUSE_MILLIS = 100L
        const val PERMANENT_STATUS = 422
    }
}
