package org.poplarshift.core.idempotency

import org.poplarshift.core.idempotency.RequestRecord.RequestAbandoned
import org.poplarshift.core.idempotency.RequestRecord.RequestFinished
import org.poplarshift.core.idempotency.RequestRecord.RequestGroup
import org.poplarshift.core.idempotency.RequestRecord.RequestStarted

/**
 * Applies the records of the stream `requests` in offset order and decides whether a request may be dispatched. It
 * stores no bodies. Applying a repeated record has no effect.
 */
class RequestIndex {
    private val entries = HashMap<RequestKey, RequestEntry>()

    // Abandoned requests by the offset of their record. A delayed append of the start record can follow it.
    private val abandoned = LinkedHashMap<String, Long>()

    /** The offset of the next record to apply. */
    var nextOffset = 0L
        private set

    /** The number of keys in the index. */
    val size: Int
        get() = entries.size

    /** Applies the record at [offset]. */
    fun apply(offset: Long, record: RequestRecord) {
        if (offset < nextOffset) return
        nextOffset = offset + 1
        change(offset, record)
    }

    /** Skips a record that cannot be read or was already applied. */
    fun skip(offset: Long) {
        nextOffset = maxOf(nextOffset, offset + 1)
    }

    /**
     * Decides how to proceed with a request. [requestId] is the identifier in the request's own [RequestStarted], or
     * null before that is appended. [isLive] returns whether the node with an incarnation can still record a response.
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

    /** Returns the identifier of the request that started [key] at [startedOffset], or null if that has changed. */
    fun requestIdOf(key: RequestKey, startedOffset: Long): String? =
        entries[key]?.takeIf { it.startedOffset == startedOffset }?.requestId

    /** Removes expired keys. A margin allows for clock skew, as in the index of batch jobs. */
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
        // The log's connection drops a delayed append long before this many records overtake it.
        const val DELAYED_APPEND_RECORDS = 10_000L
        const val CLOCK_MARGIN_MILLIS = 3_600_000L
    }
}
