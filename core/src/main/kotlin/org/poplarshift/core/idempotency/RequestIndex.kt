package org.poplarshift.core.idempotency

import org.poplarshift.core.idempotency.RequestRecord.RequestAbandoned
import org.poplarshift.core.idempotency.RequestRecord.RequestFinished
import org.poplarshift.core.idempotency.RequestRecord.RequestGroup
import org.poplarshift.core.idempotency.RequestRecord.RequestStarted

/**
 * Applies the records of the stream `requests` in the order of their offsets and decides whether a request may be
 * dispatched. It keeps no bodies. Repeated records change nothing.
 */
class RequestIndex {
    private val entries = HashMap<RequestKey, RequestEntry>()

    // Requests that were abandoned, with the offset. The record of a start whose append was delayed can follow.
    private val abandoned = LinkedHashMap<String, Long>()

    /** The offset up to which, exclusively, records were applied. */
    var nextOffset = 0L
        private set

    /** The number of keys that are known. */
    val size: Int
        get() = entries.size

    /** Applies the record at [offset]. */
    fun apply(offset: Long, record: RequestRecord) {
        if (offset < nextOffset) return
        nextOffset = offset + 1
        change(offset, record)
    }

    /** Passes over a record that can't be read or was applied before. */
    fun skip(offset: Long) {
        nextOffset = maxOf(nextOffset, offset + 1)
    }

    /**
     * Decides about a request. [requestId] is the identifier of its own [RequestStarted], or null before it has one.
     * [isLive] tells whether the node with an incarnation can still record an answer.
     */
    fun decide(
        key: RequestKey,
        digest: String,
        requestId: String?,
        nowMillis: Long,
        isLive: (node: String) -> Boolean,
    ): RequestDecision {
        val entry = entries[key]
        val finishedOffset = entry?.finishedOffset
        return when {
            entry == null || isExpired(entry, nowMillis) -> RequestDecision.Start
            entry.digest != digest -> RequestDecision.ContentMismatch
            finishedOffset != null -> RequestDecision.Replay(entry.requestId, finishedOffset)
            entry.requestId == requestId -> RequestDecision.Run(entry.startedOffset)
            isLive(entry.node) -> RequestDecision.InProgress
            else -> RequestDecision.OutcomeUnknown
        }
    }

    /** The identifier of the request whose start at [startedOffset] holds [key], or null when it no longer does. */
    fun requestIdOf(key: RequestKey, startedOffset: Long): String? =
        entries[key]?.takeIf { it.startedOffset == startedOffset }?.requestId

    /** Drops expired keys. The margin covers clocks that differ, as in the index of batch jobs. */
    fun removeExpired(nowMillis: Long) {
        entries.values.removeIf { isExpired(it, nowMillis - CLOCK_MARGIN_MILLIS) }
    }

    private fun change(offset: Long, record: RequestRecord) {
        when (record) {
            is RequestStarted -> start(offset, record)
            is RequestFinished -> finish(offset, record)
            is RequestAbandoned -> abandon(offset, record)
            is RequestGroup -> record.records.forEach { change(offset, it) }
        }
    }

    private fun start(offset: Long, record: RequestStarted) {
        if (record.requestId in abandoned) return
        val key = RequestKey(record.organisation, record.keyHash)
        val earlier = entries[key]
        if (earlier != null && !isExpired(earlier, record.atMillis)) return
        entries[key] = RequestEntry(
            digest = record.digest,
            requestId = record.requestId,
            node = record.node,
            startedOffset = offset,
            expiresAtMillis = record.atMillis + record.windowMillis,
        )
    }

    private fun finish(offset: Long, record: RequestFinished) {
        val key = RequestKey(record.organisation, record.keyHash)
        val entry = entries[key] ?: return
        if (entry.requestId != record.requestId || entry.finishedOffset != null) return
        entries[key] = entry.copy(finishedOffset = offset)
    }

    private fun abandon(offset: Long, record: RequestAbandoned) {
        val key = RequestKey(record.organisation, record.keyHash)
        val entry = entries[key]
        if (entry?.requestId == record.requestId && entry.finishedOffset == null) entries.remove(key)
        abandoned[record.requestId] = offset
        abandoned.values.removeIf { it < offset - DELAYED_APPEND_RECORDS }
    }

    private fun isExpired(entry: RequestEntry, atMillis: Long) = entry.expiresAtMillis <= atMillis

    private companion object {
        // A delayed append overtaken by more records than this was dropped by the log's connection long before.
        const val DELAYED_APPEND_RECORDS = 10_000L
        const val CLOCK_MARGIN_MILLIS = 3_600_000L
    }
}
