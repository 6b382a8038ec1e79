package org.poplarshift.node.batch

import io.vertx.ext.web.Router
import kotlinx.coroutines.launch
import org.poplarshift.node.NodeContext
import org.poplarshift.node.NodePart
import org.poplarshift.node.caller.CallerAuthentication
import org.poplarshift.node.caller.CallerMetrics
import org.poplarshift.node.caller.OpenRequests
import org.poplarshift.node.configuration.ConfigurationStore
import org.poplarshift.node.dispatch.BatchWorkers
import org.poplarshift.node.dispatch.UpstreamDispatcher
import org.poplarshift.node.forward.UpstreamClient
import org.poplarshift.node.log.TailingLogFollower
import org.poplarshift.node.ownership.SlotOwnership
import org.poplarshift.node.peer.PeerClient
import org.poplarshift.node.peer.PeerDirectory
import org.poplarshift.wire.LogStream

/** Creates and starts the components that serve and run batch jobs at one node. */
class BatchPart(
    private val context: NodeContext,
    private val store: ConfigurationStore,
    ownership: SlotOwnership,
    workers: BatchWorkers,
    dispatcher: UpstreamDispatcher,
    upstreamClient: UpstreamClient,
    peers: PeerDirectory,
    peerClient: PeerClient,
    callersRouter: Router,
    peersRouter: Router,
    authentication: CallerAuthentication,
    openRequests: OpenRequests,
    metrics: CallerMetrics,
) : NodePart {
    private val follower =
        TailingLogFollower(
            context.logService,
            LogStream.BATCH,
            context.clock,
            maximumRecords = BatchLog.MAXIMUM_RECORDS,
        )
    val batchLog = BatchLog(context, follower)
    private val targets = ItemTargets()
    private val bodies = BatchBodies(batchLog)
    private val isControlled = context.settings.batchControl
    val tasks = WorkerTasks(store, workers, dispatcher, upstreamClient, isControlled)
    private val placements = BatchPlacements(store, ownership, tasks)
    private val peerTasks = PeerTasks(context, store, ownership, tasks, placements, peerClient, peersRouter)
    private val results = ResultSender(context, batchLog)
    private val startRecorder = StartRecorder(context.scope, batchLog, results::isHeld)
    private val execution = RunExecution(store, batchLog, bodies, targets, startRecorder, placements, peerTasks)
    private val runner = BatchRunner(context, store, ownership, batchLog, placements, peerTasks, results, execution)
    private val pages = ResultPages(batchLog, bodies)
    private val carry = CarryWriter(context, batchLog, bodies, results, runner::readySlots)

    private val parts: List<NodePart> = listOf(
        peerTasks,
        results,
        runner,
        carry,
        DemandReporter(context, store, ownership, peers, workers, tasks, peerClient, peersRouter),
        BatchRoutes(
            context,
            callersRouter,
            store,
            authentication,
            openRequests,
            metrics,
            batchLog,
            targets,
            pages,
        ),
    )

    override suspend fun start() {
        val registry = context.metrics
        registry.gauge("poplarshift.batch.jobs", batchLog) { it.index.allJobs.size.toDouble() }
        registry.gauge("poplarshift.batch.yields", tasks) { it.yieldCount.toDouble() }
        context.scope.launch { batchLog.follow() }
        parts.forEach { it.start() }
    }

    override suspend fun leave() = parts.forEach { it.leave() }

    override suspend fun stop() = parts.asReversed().forEach { it.stop() }
}
