package org.poplarshift.standins.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.poplarshift.standins.http.monotonicMillis
import java.util.Random

/** The cache events of an engine. Readers see them after a delay; lost events leave gaps in the sequence numbers. */
internal class CacheEvents(seed: Long) {
    private val events = ArrayDeque<TimedEvent>()
    private val random = Random(seed)
    private var nextSequence = 0L

    /** The probability, 0 to 1, that an event is lost. */
    var lossProbability = 0.0

    /** Assigns the next sequence number to an event and stores it, unless the event is lost. */
    fun publish(kind: CacheEventKind, prefixHash: Int) {
        val event = CacheEvent(sequence = nextSequence++, kind = kind, prefixHash = prefixHash)
        if (lossProbability > 0 && random.nextDouble() < lossProbability) return
        events += TimedEvent(event, monotonicMillis())
        if (events.size > MAXIMUM_EVENTS) events.removeFirst()
    }

    /** Returns the events with sequence number [from] or higher that are at least [lagMillis] old. */
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

/** A change to the prompt prefix cache. */
@Serializable
internal data class CacheEvent(val sequence: Long, val kind: CacheEventKind, val prefixHash: Int)

/** The change to a cache block. */
@Serializable
internal enum class CacheEventKind {
    @SerialName("stored")
    STORED,

    @SerialName("evicted")
    EVICTED,
}
