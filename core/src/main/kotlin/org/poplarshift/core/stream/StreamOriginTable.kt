package org.poplarshift.core.stream

/**
 * The origins of recent streams, by the id of the request that started the stream.
 *
 * @param maximumEntries number of entries above which the oldest are removed
 * @param retentionMillis time in milliseconds for which an entry is kept
 */
class StreamOriginTable(private val maximumEntries: Int, private val retentionMillis: Long) {
    private class Entry(val origin: StreamOrigin, val recordedMillis: Long)

    // In the order of their times.
    private val entries = LinkedHashMap<String, Entry>()

    /** Number of entries, including those that have expired since the last change. */
    val size: Int
        get() = entries.size

    /** Records at [nowMillis] that [stream] began at [origin], or extends the retention of an earlier record. */
    fun record(stream: String, origin: StreamOrigin, nowMillis: Long) {
        entries.remove(stream)
        expire(nowMillis)
        if (entries.size >= maximumEntries) entries.remove(entries.keys.first())
        entries[stream] = Entry(origin, nowMillis)
    }

    /** Returns the origin of [stream], or null if it has expired at [nowMillis] or is not known. */
    fun find(stream: String, nowMillis: Long): StreamOrigin? =
        entries[stream]?.takeUnless { isExpired(it, nowMillis) }?.origin

    /** Returns the origins of the streams that were recorded at [sinceMillis] or later, the oldest first. */
    fun recent(sinceMillis: Long): Map<String, StreamOrigin> =
        entries.filterValues { it.recordedMillis >= sinceMillis }.mapValues { it.value.origin }

    /** Removes [streams]. */
    fun remove(streams: Set<String>) {
        entries.keys.removeAll(streams)
    }

    /** Removes the entries that have expired at [nowMillis]. */
    fun expire(nowMillis: Long) {
        val oldest = entries.values.iterator()
        while (oldest.hasNext() && isExpired(oldest.next(), nowMillis)) oldest.remove()
    }

    private fun isExpired(entry: Entry, nowMillis: Long) = nowMillis - entry.recordedMillis >= retentionMillis
}
