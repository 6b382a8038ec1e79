package org.poplarshift.node.batch

import io.vertx.ext.web.Router
import io.vertx.ext.web.RoutingContext
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.job
import org.poplarshift.core.batch.BatchIndex
import org.poplarshift.core.batch.BatchRecord
import org.poplarshift.core.batch.JobKey
import org.poplarshift.core.batch.JobState
import org.poplarshift.core.catalogue.Organisation
import org.poplarshift.core.catalogue.OrganisationClass
import org.poplarshift.core.verdict.RefusalReason
import org.poplarshift.core.verdict.RunStatus
import org.poplarshift.node.NodeContext
import org.poplarshift.node.NodePart
import org.poplarshift.node.WallClock
import org.poplarshift.node.caller.AuthenticationResult
import org.poplarshift.node.caller.CallerAuthentication
import org.poplarshift.node.caller.CallerMetrics
import org.poplarshift.node.caller.KeyScrubber
import org.poplarshift.node.caller.OpenRequest
import org.poplarshift.node.caller.OpenRequests
import org.poplarshift.node.caller.PresentedKeys
import org.poplarshift.node.configuration.ConfigurationStore
import org.poplarshift.node.http.ErrorResponse
import org.poplarshift.node.http.json
import org.poplarshift.node.http.refuse
import org.poplarshift.node.http.suspendingHandler
import org.poplarshift.node.log.WriteResult
import java.util.UUID

/** Serves the batch API on the callers' listener. */
class BatchRoutes(
    private val context: NodeContext,
    private val callersRouter: Router,
    private val store: ConfigurationStore,
    private val authentication: CallerAuthentication,
    private val openRequests: OpenRequests,
    private val metrics: CallerMetrics,
    private val batchLog: BatchLog,
    private val targets: ItemTargets,
    private val pages: ResultPages,
    private val wallClock: WallClock = WallClock.SYSTEM,
) : NodePart {
    private var uploads = 0

    override suspend fun start() {
        callersRouter.post(JOB).suspendingHandler(context.scope) { serve(it, ::upload) }
        callersRouter.get(JOB).suspendingHandler(context.scope) { serveJob(it, ::status) }
        callersRouter.get("$JOB/results").suspendingHandler(context.scope) { serveJob(it, ::results) }
        callersRouter.delete(JOB).suspendingHandler(context.scope) { serveJob(it, ::cancel) }
    }

    private suspend fun serve(
        routing: RoutingContext,
        handle: suspend (RoutingContext, Organisation) -> ErrorResponse?,
    ) {
        val caller = when (val result = authentication.authenticate(routing.request().headers())) {
            is AuthenticationResult.Refused -> return refuse(routing, result.error)
            is AuthenticationResult.Authenticated -> result
        }
        val open = OpenRequest(UUID.randomUUID().toString(), caller.key.keyId, currentCoroutineContext().job)
        openRequests.add(open)
        try {
            routing.response().closeHandler { open.end(RefusalReason.CANCELLED) }
            val answer = handle(routing, caller.organisation)
            if (answer != null) refuse(routing, answer)
        } catch (exception: CancellationException) {
            val reason = open.endReason ?: throw exception
            refuse(routing, ErrorResponse(reason, "the request was ended", RunStatus.MAY_HAVE_RUN))
        } finally {
            openRequests.remove(open)
        }
    }

    private suspend fun serveJob(
        routing: RoutingContext,
        handle: suspend (RoutingContext, JobState) -> ErrorResponse?,
    ) = serve(routing) { _, organisation ->
        val key = keyOf(routing, organisation)
        // Another node may have accepted the job in a record that this node has not read yet.
        val isCurrent = find(key) != null || batchLog.catchUp()
        val job = find(key)
        when {
            job != null -> handle(routing, job)
            isCurrent -> notRun(RefusalReason.UNKNOWN_JOB, "the organisation has no job with this identifier")
            else -> notRun(RefusalReason.LOG_UNAVAILABLE, "whether the job exists can't be read now")
        }
    }

    private fun refuse(routing: RoutingContext, answer: ErrorResponse) {
        metrics.recordRefusal(answer.reason)
        val response = routing.response()
        when {
            response.closed() || response.ended() -> return
            response.headWritten() -> routing.request().connection().close()
            else -> routing.refuse(answer)
        }
    }

    private suspend fun upload(routing: RoutingContext, organisation: Organisation): ErrorResponse? {
        val catalogue = store.current.value.catalogue
            ?: return notRun(RefusalReason.NO_CONFIGURATION, "no current configuration")
        if (organisation.organisationClass == OrganisationClass.ONLINE_ONLY) {
            return notRun(RefusalReason.FORBIDDEN_ROUTE, "the organisation may not use batch jobs")
        }
        val key = keyOf(routing, organisation)
        if (!JOB_ID.matches(key.jobId)) return notRun(RefusalReason.BAD_REQUEST, "jobId must match ${JOB_ID.pattern}")
        if (uploads >= MAXIMUM_UPLOADS) return notRun(RefusalReason.QUEUE_FULL, "too many uploads at this node")
        val limits = context.settings.limits
        val request = routing.request()
        if (declaredBytes(routing) > limits.batchBodyBytes) {
            return notRun(RefusalReason.BODY_TOO_LARGE, "the body exceeds ${limits.batchBodyBytes} bytes")
        }
        val content =
            UploadContent(catalogue, organisation.id, KeyScrubber(PresentedKeys.read(request.headers())), targets)
        uploads++
        val result = try {
            val lines = LineReader(request, limits.batchBodyBytes, limits.itemBytes, UPLOAD_IDLE_MILLIS)
            BatchUpload(batchLog, key, catalogue, content, wallClock).run(lines)
        } finally {
            uploads--
        }
        when (result) {
            is UploadResult.Refused -> return result.answer
            is UploadResult.Accepted -> sendStatus(routing, result.job, if (result.isNew) CREATED else OK)
        }
        return null
    }

    private suspend fun status(routing: RoutingContext, job: JobState): ErrorResponse? {
        sendStatus(routing, job, OK)
        return null
    }

    private suspend fun results(routing: RoutingContext, job: JobState): ErrorResponse? {
        val parameters = routing.request().params()
        val from = (parameters.get("from") ?: "0").toIntOrNull()?.takeIf { it >= 0 }
            ?: return notRun(RefusalReason.BAD_REQUEST, "from must be an integer, at least 0")
        val limit = (parameters.get("limit") ?: "$DEFAULT_PAGE").toIntOrNull()?.takeIf { it >= 1 }
            ?: return notRun(RefusalReason.BAD_REQUEST, "limit must be an integer, at least 1")
        return pages.write(routing.response(), job.key, from, limit, follow = parameters.get("follow") == "true")
    }

    private suspend fun cancel(routing: RoutingContext, job: JobState): ErrorResponse? {
        val record = BatchRecord.JobCancelled(job.uploadId, wallClock.millis())
        val written = batchLog.writer.write(record, APPEND_TIMEOUT_MILLIS)
        if (written is WriteResult.NotWritten) return notRun(RefusalReason.LOG_UNAVAILABLE, "the job is not cancelled")
        val isApplied = written is WriteResult.Written && batchLog.awaitApplied(written.offset)
        val cancelled = find(job.key)
        if (!isApplied || cancelled == null) {
            val message = "whether the job is cancelled is not known yet; send the request again"
            return ErrorResponse(RefusalReason.LOG_UNAVAILABLE, message, RunStatus.MAY_HAVE_RUN)
        }
        sendStatus(routing, cancelled, OK)
        return null
    }

    private fun find(key: JobKey): JobState? =
        batchLog.index.find(key)?.takeUnless { BatchIndex.isExpired(it, wallClock.millis()) }

    private fun keyOf(routing: RoutingContext, organisation: Organisation) =
        JobKey(organisation.id, routing.pathParam("jobId"))

    private fun sendStatus(routing: RoutingContext, job: JobState, status: Int) =
        routing.json(JobStatus.serializer(), JobStatus.of(job), status)

    private fun declaredBytes(routing: RoutingContext): Long =
        routing.request().getHeader("Content-Length")?.toLongOrNull() ?: 0

    private fun notRun(reason: RefusalReason, message: String) = ErrorResponse(reason, message, RunStatus.NOT_RUN)

    private companion object {
        const val JOB = "/v1/batches/:jobId"
        val JOB_ID = Regex("[A-Za-z0-9._-]{1,128}")
        const val OK = 200
        const val CREATED = 201
        const val DEFAULT_PAGE = 1_000
        const val APPEND_TIMEOUT_MILLIS = 5_000L
        const val UPLOAD_IDLE_MILLIS = 30_000L

        // Each upload keeps a chunk of 256 KB and its item identifiers in memory, about 5 MB for 66,000 items.
        const val MAXIMUM_UPLOADS = 8
    }
}
