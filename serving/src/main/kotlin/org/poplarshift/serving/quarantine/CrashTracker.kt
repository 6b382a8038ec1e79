package org.poplarshift.serving.quarantine

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.poplarshift.core.quarantine.QuarantineTable
import org.poplarshift.core.quarantine.QuarantineUpdate
import org.poplarshift.core.quarantine.SuspectStatus
import org.poplarshift.core.submission.KeyedValue
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.serving.log.AppendResult
import org.poplarshift.serving.log.LogRecord
import org.poplarshift.serving.log.PartitionedLog

/**
 * One run of a request at a worker.
 *
 * @property fingerprint identifies the request when it is sent again
 * @property promptParts ids of the parts of the prompt that other requests may have in common with this one
 * @property hasBegun whether the worker had begun to write its response
 */
data class WorkerRun(
    val fingerprint: String,
    val worker: String,
    val requestId: String = "",
    val promptParts: List<String> = emptyList(),
    val hasBegun: Boolean = false,
)

/**
 * Tracks which requests were running on workers that crashed, on this node and on all others, so that a request that
 * crashes every worker it is sent to can be quarantined.
 *
 * Each node keeps one record in a keyed topic with the strikes that it has observed. A lost connection counts as a
 * crash, because a node can't determine why a connection was lost. Requests that shared a worker with the one that
 * crashed it also receive a strike, which is cleared when they complete on another worker.
 */
class CrashTracker(
    private val scope: CoroutineScope,
    private val clock: MonotonicClock,
    private val log: PartitionedLog,
    private val topic: String,
    private val nodeName: String,
    private val wallClockMillis: () -> Long = System::currentTimeMillis,
) {
    @Serializable
    private data class StrikeRecord(@SerialName("news") val update: QuarantineUpdate, val writtenMillis: Long)

    private val table = QuarantineTable(RETENTION_MILLIS, STRIKE_LIMIT)
    private val localTable = QuarantineTable(RETENTION_MILLIS, STRIKE_LIMIT)
    private var isWriting = false
    private var hasUnwrittenChanges = false

    /** Whether no request has a strike. Fingerprints need not be computed in this case. */
    var isEmpty = true
        private set

    /** Returns whether the request with [fingerprint] is clear, suspect or quarantined. */
    fun statusOf(fingerprint: String): SuspectStatus = table.statusOf(fingerprint, clock.millis())

    /** Records a strike, because the connection to the worker was lost during [run]. */
    fun onConnectionLost(run: WorkerRun) {
        isEmpty = false
        val update = localTable.onWorkerCrash(run.fingerprint, run.worker, clock.millis())
        if (!table.merge(update, clock.millis())) return
        val status = statusOf(run.fingerprint)
        logger.atInfo {
            message = "quarantine: connection lost during a run"
            payload = mapOf(
                "request" to run.requestId,
                "fingerprint" to run.fingerprint,
                "worker" to run.worker,
                "prompt_parts" to run.promptParts.joinToString(","),
                "begun" to run.hasBegun,
                "status" to "$status",
            )
        }
        scheduleWrite()
    }

    /** Clears the strikes of the suspect request with [fingerprint], because it has completed. */
    fun onCompleted(fingerprint: String) {
        val now = clock.millis()
        val update = table.onCompleted(fingerprint, now)
        if (update.isEmpty) return
        localTable.merge(update, now)
        scheduleWrite()
    }

    /** Whether [key] is the key of a strike record. */
    fun isStrikeKey(key: String): Boolean = key.startsWith(KEY_PREFIX)

    /** Merges the strike record of any node. */
    fun onRecord(record: LogRecord) {
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
        isEmpty = table.snapshot(clock.millis(), limit = 1).strikes.isEmpty()
    }

    private fun QuarantineUpdate.aged(ageMillis: Long) = QuarantineUpdate(
        strikes = strikes.map { it.copy(remainingMillis = it.remainingMillis - ageMillis) },
        cleared = cleared.map { it.copy(remainingMillis = it.remainingMillis - ageMillis) },
    )

    private fun scheduleWrite() {
        hasUnwrittenChanges = true
        if (isWriting) return
        isWriting = true
        scope.launch {
            try {
                while (hasUnwrittenChanges) {
                    delay(WRITE_DELAY_MILLIS)
                    hasUnwrittenChanges = false
                    write()
                }
            } finally {
                isWriting = false
            }
        }
    }

    private suspend fun write() {
        val record = StrikeRecord(localTable.snapshot(clock.millis(), MAXIMUM_RECORD_STRIKES), wallClockMillis())
        val value = Json.encodeToString(StrikeRecord.serializer(), record).encodeToByteArray()
        val result = log.append(topic, PARTITION, listOf(KeyedValue(KEY_PREFIX + nodeName, value)))
        if (result is AppendResult.Appended) return
        logger.info { "quarantine: writing the strikes of this node failed, trying again: $result" }
        hasUnwrittenChanges = true
        delay(RETRY_MILLIS)
    }

    private companion object {
        val logger = KotlinLogging.logger {}
        const val KEY_PREFIX = "suspects:"
        const val PARTITION = 0

        // Longer than a caller keeps retrying the same request. A worker restarts within seconds after a crash.
        const val RETENTION_MILLIS = 120_000L

        // Crashes of distinct workers. Single lost connections are common, three in a row for one request are not.
        const val STRIKE_LIMIT = 3

        // A crash causes strikes for all requests of a worker at about the same time. The delay combines them into one
        // record.
        const val WRITE_DELAY_MILLIS = 100L
        const val RETRY_MILLIS = 500L

        // Keeps the size of a record well below the maximum of the log.
        const val MAXIMUM_RECORD_STRIKES = 200
    }
}
