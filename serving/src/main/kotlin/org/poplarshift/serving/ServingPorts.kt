package org.poplarshift.serving

import org.poplarshift.serving.fleet.ConfigurationResult
import org.poplarshift.serving.fleet.WorkerResult
import org.poplarshift.serving.forward.WorkerProtocol
import org.poplarshift.serving.ingress.CallerProtocol
import org.poplarshift.serving.log.ConsumerGroup
import org.poplarshift.serving.log.PartitionedLog

/** What surrounds a node: the log, the formats of its records, and the protocols of callers and workers. */
interface ServingPorts {
    val log: PartitionedLog
    val group: ConsumerGroup
    val callerProtocol: CallerProtocol
    val workerProtocol: WorkerProtocol

    /** Reads an operator's record. */
    fun decodeConfiguration(key: String, value: ByteArray): ConfigurationResult

    /** Reads a worker's entry. */
    fun decodeWorker(key: String, value: ByteArray): WorkerResult
}
