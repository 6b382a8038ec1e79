package org.poplarshift.node.dispatch

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.SerializationException
import org.poplarshift.core.quarantine.QuarantineRecord
import org.poplarshift.core.quarantine.QuarantineTable
import org.poplarshift.core.quarantine.QuarantineUpdate
import org.poplarshift.node.NodeContext
import org.poplarshift.node.log.TailingLogFollower
import org.poplarshift.ports.AppendResult
import org.poplarshift.ports.LogRecord
import org.poplarshift.wire.LogEnvelope
import org.poplarshift.wire.LogStream
import org.poplarshift.wire.WireJson

/**
 * Stores strikes in the stream `quarantine`, so that a node restores them after a restart. Updates that are added
 * within [LINGER_MILLIS] share a record. A refused append is not retried, because updates are also sent to the peers.
 */
class QuarantineLog(private val context: NodeContext, private val table: QuarantineTable) {
    private val follower = TailingLogFollower(context.logService, LogStream.QUARANTINE, context.clock)
    private val pendingUpdates = Channel<QuarantineUpdate>(Channel.UNLIMITED)
    private var sequence = 0L

    /** Starts to follow the stream and to write added updates. */
    fun start() {
        context.scope.launch { follower.follow { apply(it) } }
        context.scope.launch {
            for (first in pendingUpdates) {
                delay(LINGER_MILLIS)
                val updates = listOf(first) + generateSequence { pendingUpdates.tryReceive().getOrNull() }
                write(updates)
            }
        }
    }

    /** Queues [update] to be written with the next record. */
    fun add(update: QuarantineUpdate) {
        pendingUpdates.trySend(update)
    }

    private suspend fun write(updates: List<QuarantineUpdate>) {
        val now = System.currentTimeMillis()
        val strikes = updates.flatMap { it.strikes }.map { it.strike }.distinct()
        val cleared = updates.flatMap { it.cleared }.map { it.strike }.distinct()
        if (strikes.isNotEmpty()) append(QuarantineRecord.StrikesRecorded(strikes, now))
        if (cleared.isNotEmpty()) append(QuarantineRecord.StrikesCleared(cleared, now))
    }

    private suspend fun append(record: QuarantineRecord) {
        val envelope = LogEnvelope(producer = context.incarnation, sequence = sequence++, record = record)
        when (
            val result = context.logService.append(
                LogStream.QUARANTINE,
                WireJson.lenient.encodeToString(ENVELOPE, envelope),
            )
        ) {
            is AppendResult.Appended -> Unit
            is AppendResult.Refused -> log.warn { "quarantine: log refused a record, not retried: ${result.reason}" }
            is AppendResult.Unknown -> log.warn { "quarantine: append outcome of record is unknown: ${result.reason}" }
        }
    }

    private fun apply(record: LogRecord) {
        try {
            val envelope = WireJson.lenient.decodeFromString(ENVELOPE, record.record)
            table.apply(envelope.record, System.currentTimeMillis(), context.clock.millis())
        } catch (exception: SerializationException) {
            log.warn { "quarantine: skipped undecodable record ${record.offset}: ${exception.message}" }
        }
    }

    private companion object {
        val log = KotlinLogging.logger {}
        val ENVELOPE = LogEnvelope.serializer(QuarantineRecord.serializer())
        const val LINGER_MILLIS = 200L
    }
}
