package org.poplarshift.serving

import org.poplarshift.core.dispatch.WorkerRouting

/**
 * Settings that a node needs to start. Addresses have the form `IP:port`.
 *
 * @property speed processor time per second that the VM has, in seconds of a core
 * @property callersAddress where callers connect
 * @property readinessAddress where the external load balancer checks readiness
 * @property peerAddress where other nodes connect
 * @property metricsAddress where metrics are served, or null
 * @property submissionTopic keyed topic of batch submissions
 * @property contentTopic keyed topic of the large bodies and outputs of batch submissions, with as many partitions
 * @property memberTopic keyed topic of member and crash records
 * @property configurationTopic keyed topic of the records that the operator writes
 * @property workerTopic keyed topic of the workers' registry entries
 * @property submissionPartitions number of partitions of [submissionTopic] that are used
 * @property retentionMillis milliseconds for which results are kept after a submission
 * @property zones the regions of all zones of the deployment by the names of the zones; empty if they are not known
 * @property routing how the schedulers that run at the node choose workers
 * @property contentCacheBytes maximum size of the bodies and outputs of submissions that are kept in memory
 * @property drainMillis maximum milliseconds for which a node keeps serving requests during shutdown
 */
data class ServingSettings(
    val name: String,
    val zone: String,
    val localHost: String,
    val speed: Double,
    val callersAddress: String,
    val readinessAddress: String,
    val peerAddress: String,
    val metricsAddress: String?,
    val submissionTopic: String,
    val contentTopic: String,
    val memberTopic: String,
    val configurationTopic: String,
    val workerTopic: String,
    val submissionPartitions: Int,
    val retentionMillis: Long,
    val drainMillis: Long,
    val contentCacheBytes: Long = DEFAULT_CONTENT_CACHE_BYTES,
    val zones: Map<String, String> = emptyMap(),
    val routing: WorkerRouting = WorkerRouting.COST,
) {
    private companion object {
        // A sixth of the heap of 96 MB that nodes run with.
        const val DEFAULT_CONTENT_CACHE_BYTES = 16L * 1024 * 1024
    }
}
