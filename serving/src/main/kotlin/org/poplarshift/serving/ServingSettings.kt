package org.poplarshift.serving

/**
 * What a node must know at its start. Addresses are an IP number and a port.
 *
 * @property callersAddress where callers connect
 * @property readinessAddress where the balancer asks
 * @property peerAddress where other nodes connect
 * @property metricsAddress where metrics are served, or null
 * @property submissionTopic keyed topic of batch submissions
 * @property memberTopic keyed topic of the nodes
 * @property configurationTopic keyed topic of the operator's records
 * @property workerTopic keyed topic of the workers' entries
 * @property submissionPartitions partitions of the topic that are used
 * @property retentionMillis how long results are kept after a submission
 * @property drainMillis how long a process that is to end may go on serving
 */
data class ServingSettings(
    val name: String,
    val zone: String,
    val localHost: String,
    val callersAddress: String,
    val readinessAddress: String,
    val peerAddress: String,
    val metricsAddress: String?,
    val submissionTopic: String,
    val memberTopic: String,
    val configurationTopic: String,
    val workerTopic: String,
    val submissionPartitions: Int,
    val retentionMillis: Long,
    val drainMillis: Long,
)
