package org.poplarshift.serving.quarantine

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.delay
import org.poplarshift.core.submission.KeyedValue
import org.poplarshift.serving.BackgroundTasks
import org.poplarshift.serving.log.AppendResult
import org.poplarshift.serving.log.PartitionedLog

/**
 * Keeps the record [key] of this node in a keyed topic up to date.
 *
 * A crash changes the record several times at once, so changes are collected for [delayMillis] before they are written.
 *
 * @param encode returns the current content of the record
 */
class NodeRecordWriter(
    private val tasks: BackgroundTasks,
    private val log: PartitionedLog,
    private val topic: String,
    private val key: String,
    private val delayMillis: Long,
    private val encode: () -> String,
) {
    private var isWriting = false
    private var hasUnwrittenChanges = false

    /** Writes the record soon, and again until it is in the log. */
    fun schedule() {
        hasUnwrittenChanges = true
        if (isWriting) return
        isWriting = true
        tasks.launch("record writer") {
            while (hasUnwrittenChanges) {
                delay(delayMillis)
                write()
            }
            isWriting = false
        }
    }

    private suspend fun write() {
        hasUnwrittenChanges = false
        var result: AppendResult? = null
        try {
            result = log.append(topic, PARTITION, listOf(KeyedValue(key, encode().encodeToByteArray())))
        } finally {
            // Also after an exception, because the owner of the tasks then starts this one again.
            if (result !is AppendResult.Appended) hasUnwrittenChanges = true
        }
        if (result is AppendResult.Appended) return
        logger.info { "log: writing the record $key failed, trying again: $result" }
        delay(RETRY_MILLIS)
    }

    private companion object {
        val logger = KotlinLogging.logger {}
        const val PARTITION = 0
        const val RETRY_MILLIS = 500L
    }
}
