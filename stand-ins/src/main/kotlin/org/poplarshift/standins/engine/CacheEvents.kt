package org.poplarshift.standins.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.poplarshift.standins.http.monotonicMillis
import java.util.Random

/** The cache events of an engine, which are published late and with gaps in their numbers. */
internal class CacheEvents(seed: Long) {
    private val events = ArrayDeque<TimedEvent>()
    private val random = Random(seed)
    private var nextSequence = 0L

    /** The share of events, 0 to 1, that are lost. */
    var lossProbability = 0.0

    /** Adds an event, or loses it. */
    fun publish(kind: CacheEventKind, prefixHash: Int) {
        val event = CacheEvent(sequence = nextSequence++, kind = kind, prefixHash = prefixHash)
        if (lossProbability > 0 && random.nextDouble() < lossProbability) return
        events += TimedEvent(event, monotonicMillis())
        if (events.size > MAXIMUM_EVENTS) events.removeFirst()
    }

    /** The events from the number [from] on that are at least [lagMillis] old. */
    fun read(from: Long, lagMillis: Long): CacheEventsBody {
        val latestMillis = monotonicMillis() - lagMillis
        val published = events.filter { it.event.sequence >= from && it.atMillis <= latestMillis }.map { it.event }
        return CacheEventsBody(events = published, next = (published.lastOrNull()?.sequence ?: (from - 1)) + 1)
    }

    private data class TimedEvent(val event: CacheEvent, val atMillis: Long)

    private companion object {
        const val MAXIMUM_EVENTS = 10_000
    }
}

/** The body of `GET /cache-events`. */
@Serializable
internal data class CacheEventsBody(val events: List<CacheEvent>, val next: Long)

/** A change of the prompt prefix cache. */
@Serializable
internal data class CacheEvent(val sequence: Long, val kind: CacheEventKind, val prefixHash: Int)

/** What happened to a block of the cache. */
@Serializable
internal enum class CacheEventKind {
    @SerialName("stored")
    STORED,

    @SerialName("evicted")
    EVICTED,
}
