package org.poplarshift.serving.quarantine

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.poplarshift.core.quarantine.PromptPartTable
import org.poplarshift.core.quarantine.PromptPartUpdate
import org.poplarshift.serving.BackgroundTasks
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.serving.log.LogRecord
import org.poplarshift.serving.log.PartitionedLog

/**
 * Tracks which prompt parts crash workers, on this node and on all others, so that requests with such a part are
 * refused although no two of them are alike.
 *
 * Each node keeps one record in a keyed topic with the evidence that it has observed.
 */
class PromptPartTracker(
    tasks: BackgroundTasks,
    private val clock: MonotonicClock,
    log: PartitionedLog,
    topic: String,
    nodeName: String,
    private val wallClockMillis: () -> Long = System::currentTimeMillis,
) {
    @Serializable
    private data class PromptPartRecord(val update: PromptPartUpdate, val writtenMillis: Long)

    private val ownKey = KEY_PREFIX + nodeName
    private val table = PromptPartTable(RETENTION_MILLIS)
    private val localTable = PromptPartTable(RETENTION_MILLIS)
    private val writer = NodeRecordWriter(tasks, log, topic, ownKey, WRITE_DELAY_MILLIS) { encode() }
    private var loggedParts = emptySet<String>()

    /** Number of prompt parts that are blamed for crashes. */
    val blamedCount: Int
        get() = table.allBlamedParts.size

    /** The workers whose crashes are explained by blamed parts. */
    fun explainedWorkers(): Set<String> = table.explainedWorkers()

    /** Returns the parts among [parts] that are blamed for crashes, so that a request with [parts] is refused. */
    fun blamedParts(parts: List<String>): Set<String> {
        if (table.isEmpty) return emptySet()
        val blamed = table.blamedParts(parts)
        if (blamed.isNotEmpty()) publish(table.renew(blamed, clock.millis()))
        return blamed
    }

    /** Records that a worker has begun to answer a request with [parts]. */
    fun onAnswered(parts: List<String>) = publish(table.onAnswered(parts, clock.millis()))

    /** Records that the connection to the worker was lost during [run], before the worker had begun to answer. */
    fun onConnectionLost(run: WorkerRun) =
        publish(table.onWorkerCrash(run.fingerprint, run.worker, run.promptParts, run.sentMillis, clock.millis()))

    /** Whether [key] is the key of a record of prompt parts. */
    fun isPartKey(key: String): Boolean = key.startsWith(KEY_PREFIX)

    /** Merges the record of any node. */
    fun onRecord(record: LogRecord) {
        if (record.value.isEmpty()) return
        val content = try {
            json.decodeFromString(PromptPartRecord.serializer(), record.value.decodeToString())
        } catch (exception: SerializationException) {
            logger.warn { "quarantine: record ${record.key} at offset ${record.offset} ignored: ${exception.message}" }
            return
        }
        val update = content.update.aged(maxOf(0, wallClockMillis() - content.writtenMillis))
        // After a restart, the next write of this node must not drop what it had observed before.
        if (record.key == ownKey) localTable.merge(update, clock.millis())
        publish(table.merge(update, clock.millis()))
    }

    /** Removes expired evidence. */
    fun expire() = listOf(table, localTable).forEach { it.expire(clock.millis()) }

    private fun publish(update: PromptPartUpdate) {
        val all = update + table.confirm(clock.millis())
        if (!all.isEmpty) {
            localTable.merge(all, clock.millis())
            writer.schedule()
        }
        logChanges()
    }

    private fun logChanges() {
        val blamed = table.allBlamedParts
        if (blamed == loggedParts) return
        logger.atWarn {
            message = "quarantine: the prompt parts that crash workers have changed"
            payload = mapOf("refused" to blamed.joinToString(","), "before" to loggedParts.joinToString(","))
        }
        loggedParts = blamed
    }

    private fun encode(): String = json.encodeToString(
        PromptPartRecord.serializer(),
        PromptPartRecord(localTable.snapshot(clock.millis(), MAXIMUM_RECORD_ENTRIES), wallClockMillis()),
    )

    private companion object {
        val logger = KotlinLogging.logger {}
        val json = Json { ignoreUnknownKeys = true }
        const val KEY_PREFIX = "prompt-parts:"

        // Requests with the part may come again after a pause. Each time that it is forgotten costs several workers.
        const val RETENTION_MILLIS = 600_000L
        const val WRITE_DELAY_MILLIS = 50L

        // Keeps the size of a record well below the maximum of the log.
        const val MAXIMUM_RECORD_ENTRIES = 200
    }
}
