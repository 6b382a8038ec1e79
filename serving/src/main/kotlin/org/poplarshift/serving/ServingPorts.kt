package org.poplarshift.serving

import org.poplarshift.serving.fleet.ConfigurationResult
import org.poplarshift.serving.fleet.WorkerResult
import org.poplarshift.serving.forward.WorkerProtocol
import org.poplarshift.serving.ingress.CallerProtocol
import org.poplarshift.serving.log.ConsumerGroup
import org.poplarshift.serving.log.PartitionedLog

/** External interfaces of a node: the log, the formats of its records, and the protocols of callers and workers. */
interface ServingPorts {
    val log: PartitionedLog
    val group: ConsumerGroup
    val callerProtocol: CallerProtocol
    val workerProtocol: WorkerProtocol

    /** Decodes a record that the operator writes. */
    fun decodeConfiguration(key: String, value: ByteArray): ConfigurationResult

    /** Decodes a worker's registry entry. */
    fun decodeWorker(key: String, value: ByteArray): WorkerResult
}
