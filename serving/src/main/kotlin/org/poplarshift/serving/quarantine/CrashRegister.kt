package org.poplarshift.serving.quarantine

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
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

/** A request as it is recognised when it comes again, and the worker of one of its runs. */
data class RunAtWorker(val fingerprint: String, val worker: String)

/**
 * Knows the requests with which workers have crashed, of this node and of all others, so that a request that crashes each
 * worker that it reaches is kept from the next one.
 *
 * Each node keeps one record in a keyed topic with the strikes that it has seen. A lost connection counts as a crash,
 * because a node can't tell why a connection was lost; requests beside the one that crashed the worker get a strike too,
 * which is cleared when they complete elsewhere.
 */
class CrashRegister(
    private val scope: CoroutineScope,
    private val clock: MonotonicClock,
    private val log: PartitionedLog,
    private val topic: String,
    private val ownName: String,
    private val wallClockMillis: () -> Long = System::currentTimeMillis,
) {
    @Serializable
    private data class StrikeRecord(val news: QuarantineUpdate, val writtenMillis: Long)

    private val table = QuarantineTable(RETENTION_MILLIS, STRIKE_LIMIT)
    private val own = QuarantineTable(RETENTION_MILLIS, STRIKE_LIMIT)
    private var isWriting = false
    private var isChanged = false

    /** Whether no request is suspect, so that fingerprints need not be computed. */
    var isEmpty = true
        private set

    /** What is known about [fingerprint]. */
    fun statusOf(fingerprint: String): SuspectStatus = table.statusOf(fingerprint, clock.millis())

    /** Notes that the connection of [run] was lost. */
    fun onLost(run: RunAtWorker) {
        isEmpty = false
        val news = own.onWorkerCrash(run.fingerprint, run.worker, clock.millis())
        if (!table.merge(news, clock.millis())) return
        val status = statusOf(run.fingerprint)
        logger.atInfo {
            message = "quarantine: connection lost during a run"
            payload = mapOf("fingerprint" to run.fingerprint, "worker" to run.worker, "status" to "$status")
        }
        tell()
    }

    /** Notes that [fingerprint] has completed. */
    fun onCompleted(fingerprint: String) {
        val now = clock.millis()
        val news = table.onCompleted(fingerprint, now)
        if (news.isEmpty) return
        own.merge(news, now)
        tell()
    }

    /** Whether [key] is one of this register's records. */
    fun owns(key: String): Boolean = key.startsWith(KEY_PREFIX)

    /** Takes a record of any node. */
    fun onRecord(record: LogRecord) {
        if (record.value.isEmpty()) return
        val strikes = try {
            Json.decodeFromString(StrikeRecord.serializer(), record.value.decodeToString())
        } catch (exception: SerializationException) {
            logger.warn { "quarantine: record ${record.key} at ${record.offset}: ${exception.message}; left out" }
            return
        }
        val age = maxOf(0, wallClockMillis() - strikes.writtenMillis)
        table.merge(strikes.news.older(age), clock.millis())
        isEmpty = table.snapshot(clock.millis(), limit = 1).strikes.isEmpty()
    }

    /** Forgets what has expired. */
    fun expire() {
        listOf(table, own).forEach { it.expire(clock.millis()) }
        isEmpty = table.snapshot(clock.millis(), limit = 1).strikes.isEmpty()
    }

    private fun QuarantineUpdate.older(millis: Long) = QuarantineUpdate(
        strikes = strikes.map { it.copy(remainingMillis = it.remainingMillis - millis) },
        cleared = cleared.map { it.copy(remainingMillis = it.remainingMillis - millis) },
    )

    private fun tell() {
        isChanged = true
        if (isWriting) return
        isWriting = true
        scope.launch {
            try {
                while (isChanged) {
                    delay(GATHER_MILLIS)
                    isChanged = false
                    write()
                }
            } finally {
                isWriting = false
            }
        }
    }

    private suspend fun write() {
        val record = StrikeRecord(own.snapshot(clock.millis(), NEWS_LIMIT), wallClockMillis())
        val value = Json.encodeToString(StrikeRecord.serializer(), record).encodeToByteArray()
        val result = log.append(topic, PARTITION, listOf(KeyedValue(KEY_PREFIX + ownName, value)))
        if (result is AppendResult.Appended) return
        logger.info { "quarantine: the strikes of this node are not told: $result" }
        isChanged = true
        delay(RETRY_MILLIS)
    }

    private companion object {
        val logger = KotlinLogging.logger {}
        const val KEY_PREFIX = "suspects:"
        const val PARTITION = 0

        // Longer than a caller goes on sending the same request; a worker is back seconds after a crash.
        const val RETENTION_MILLIS = 120_000L

        // Three crashes of distinct workers; single lost connections are common, three in a row for one request are not.
        const val STRIKE_LIMIT = 3

        // A crash strikes all requests of a worker at about the same moment.
        const val GATHER_MILLIS = 100L
        const val RETRY_MILLIS = 500L

        // Bounds a record well below the largest that the log takes.
        const val NEWS_LIMIT = 200
    }
}
