package org.poplarshift.serving.quarantine

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.poplarshift.core.quarantine.QuarantineTable
import org.poplarshift.core.quarantine.QuarantineUpdate
import org.poplarshift.core.quarantine.SuspectStatus
import org.poplarshift.serving.BackgroundTasks
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.serving.log.LogRecord
import org.poplarshift.serving.log.PartitionedLog

/**
 * Tracks which requests were running on workers that crashed, on this node and on all others, so that a request that
 * crashes every worker it is sent to can be quarantined.
 *
 * Each node keeps one record in a keyed topic with the strikes that it has observed. A lost connection counts as a
 * crash, because a node can't determine why a connection was lost. Requests that shared a worker with the one that
 * crashed it also receive a strike, which is cleared when they complete on another worker.
 */
class CrashTracker(
    tasks: BackgroundTasks,
    private val clock: MonotonicClock,
    log: PartitionedLog,
    topic: String,
    nodeName: String,
    private val wallClockMillis: () -> Long = System::currentTimeMillis,
) {
    @Serializable
    private data class StrikeRecord(@SerialName("news") val update: QuarantineUpdate, val writtenMillis: Long)

    private val table = QuarantineTable(RETENTION_MILLIS, STRIKE_LIMIT)
    private val localTable = QuarantineTable(RETENTION_MILLIS, STRIKE_LIMIT)
    private val promptParts = PromptPartTracker(tasks, clock, log, topic, nodeName, wallClockMillis)
    private val writer = NodeRecordWriter(tasks, log, topic, KEY_PREFIX + nodeName, WRITE_DELAY_MILLIS) { encode() }

    /** Number of prompt parts that are blamed for crashes. */
    val blamedPartCount: Int
        get() = promptParts.blamedCount

    /** Whether no request has a strike. Fingerprints need not be computed in this case. */
    var isEmpty = true
        private set

    /** Returns whether the request with [fingerprint] is clear, suspect or quarantined. */
    fun statusOf(fingerprint: String): SuspectStatus =
        table.statusOf(fingerprint, clock.millis(), promptParts.explainedWorkers())

    /** Returns the parts among [parts] that crash workers, so that a request with [parts] is refused. */
    fun blamedParts(parts: List<String>): Set<String> = promptParts.blamedParts(parts)

    /** Records that a worker has begun to answer a request with the prompt parts [parts]. */
    fun onAnswered(parts: List<String>) = promptParts.onAnswered(parts)

    /** Records a strike against a suspect request, because the connection to the worker was lost during [run]. */
    fun onConnectionLost(run: WorkerRun) {
        if (!run.isSuspect) return logLoss(run)
        isEmpty = false
        if (!run.hasBegun) promptParts.onConnectionLost(run)
        val update = localTable.onWorkerCrash(run.fingerprint, run.worker, clock.millis())
        if (!table.merge(update, clock.millis())) return
        logLoss(run)
        writer.schedule()
    }

    private fun logLoss(run: WorkerRun) {
        logger.atInfo {
            message = "quarantine: connection lost during a run"
            payload = mapOf(
                "request" to run.requestId,
                "fingerprint" to run.fingerprint,
                "worker" to run.worker,
                "prompt_parts" to run.promptParts.joinToString(","),
                "begun" to run.hasBegun,
                "status" to "${statusOf(run.fingerprint)}",
            )
        }
    }

    /** Clears the strikes of the suspect request with [fingerprint], because it has completed. */
    fun onCompleted(fingerprint: String) {
        val now = clock.millis()
        val update = table.onCompleted(fingerprint, now)
        if (update.isEmpty) return
        localTable.merge(update, now)
        writer.schedule()
    }

    /** Whether [key] is the key of a strike record. */
    fun isStrikeKey(key: String): Boolean = key.startsWith(KEY_PREFIX) || promptParts.isPartKey(key)

    /** Merges the strike record of any node. */
    fun onRecord(record: LogRecord) {
        if (promptParts.isPartKey(record.key)) return promptParts.onRecord(record)
        if (record.value.isEmpty()) return
        val strikeRecord = try {
            Json.decodeFromString(StrikeRecord.serializer(), record.value.decodeToString())
        } catch (exception: SerializationException) {
            logger.warn { "quarantine: record ${record.key} at offset ${record.offset} ignored: ${exception.message}" }
            return
        }
        val ageMillis = maxOf(0, wallClockMillis() - strikeRecord.writtenMillis)
        table.merge(strikeRecord.update.aged(ageMillis), clock.millis())
        isEmpty = table.snapshot(clock.millis(), limit = 1).strikes.isEmpty()
    }

    /** Removes expired strikes. */
    fun expire() {
        listOf(table, localTable).forEach { it.expire(clock.millis()) }
        promptParts.expire()
        isEmpty = table.snapshot(clock.millis(), limit = 1).strikes.isEmpty()
    }

    private fun QuarantineUpdate.aged(ageMillis: Long) = QuarantineUpdate(
        strikes = strikes.map { it.copy(remainingMillis = it.remainingMillis - ageMillis) },
        cleared = cleared.map { it.copy(remainingMillis = it.remainingMillis - ageMillis) },
    )

    private fun encode(): String = Json.encodeToString(
        StrikeRecord.serializer(),
        StrikeRecord(localTable.snapshot(clock.millis(), MAXIMUM_RECORD_STRIKES), wallClockMillis()),
    )

    private companion object {
        val logger = KotlinLogging.logger {}
        const val KEY_PREFIX = "suspects:"

        // Longer than a caller keeps retrying the same request. A worker restarts within seconds after a crash.
        const val RETENTION_MILLIS = 120_000L

        // Crashes of distinct workers. Single lost connections are common, three in a row for one request are not.
        const val STRIKE_LIMIT = 3

        // A crash causes strikes for all requests of a worker at about the same time. The delay combines them into one
        // record.
        const val WRITE_DELAY_MILLIS = 100L

        // Keeps the size of a record well below the maximum of the log.
        const val MAXIMUM_RECORD_STRIKES = 200
    }
}
