package org.poplarshift.serving.log

import org.poplarshift.core.submission.KeyedValue
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.serving.peer.DirectPath

/**
 * Calls the log through another node that can reach it.
 *
 * Each call returns null if there is no such node or if it does not respond.
 */
interface LogRelay {
    /** See [PartitionedLog.append]. */
    suspend fun append(topic: String, partition: Int, records: List<KeyedValue>): AppendResult?

    /** See [PartitionedLog.read]. */
    suspend fun read(topic: String, partition: Int, from: Long, waitMillis: Long): ReadResult?

    /** See [PartitionedLog.readAt]. */
    suspend fun readAt(topic: String, partition: Int, offset: Long, valueBytes: Int): ReadResult?

    /** See [PartitionedLog.newest]. */
    suspend fun newest(topic: String, partition: Int, afterKey: String?): NewestResult?
}

/**
 * A log that is called through other nodes while it can't be reached directly from this node.
 *
 * Without the relay, a node that can't reach the log would serve with an outdated configuration. Items that it has
 * completed would run again on other nodes, because it could not record their results.
 *
 * @param largeTopics topics whose pages are large and are read directly only
 */
class RelayedLog(
    private val direct: PartitionedLog,
    private val relay: LogRelay,
    clock: MonotonicClock,
    private val largeTopics: Set<String> = emptySet(),
) : PartitionedLog {
    private val path = DirectPath(clock, "the log")

    override val maximumValueBytes: Int
        get() = direct.maximumValueBytes

    override val maximumAppendBytes: Int
        get() = direct.maximumAppendBytes

    /** Whether the last direct call to the log succeeded. */
    val isReachable: Boolean
        get() = path.isUsable

    /** Whether the last call to the log succeeded, directly or through another node. */
    var isServed = true
        private set

    override suspend fun append(topic: String, partition: Int, records: List<KeyedValue>): AppendResult =
        appendDirectlyOrRelayed(topic, partition, records).also { isServed = it is AppendResult.Appended }

    // Not relayed: another node tries again when this one does not reach the log.
    override suspend fun appendAt(topic: String, partition: Int, records: List<KeyedValue>, end: Long): AppendResult =
        direct.appendAt(topic, partition, records, end)

    override suspend fun read(topic: String, partition: Int, from: Long, waitMillis: Long): ReadResult =
        readDirectlyOrRelayed(
            readDirectly = { direct.read(topic, partition, from, waitMillis) },
            readThroughRelay = { relay.read(topic, partition, from, minOf(waitMillis, MAXIMUM_RELAYED_WAIT_MILLIS)) },
        ).also { isServed = it !is ReadResult.Unavailable }

    override suspend fun readAt(topic: String, partition: Int, offset: Long, valueBytes: Int): ReadResult =
        readDirectlyOrRelayed(
            readDirectly = { direct.readAt(topic, partition, offset, valueBytes) },
            readThroughRelay = { relay.readAt(topic, partition, offset, valueBytes) },
        )

    override suspend fun newest(topic: String, partition: Int, afterKey: String?): NewestResult {
        // A page that is late was delayed by the pages of other nodes. A relay would make the log send it once more, and
        // it says nothing about short calls.
        if (topic in largeTopics) return direct.newest(topic, partition, afterKey)
        return newestDirectlyOrRelayed(topic, partition, afterKey).also { isServed = it is NewestResult.Page }
    }

    private suspend fun appendDirectlyOrRelayed(
        topic: String,
        partition: Int,
        records: List<KeyedValue>,
    ): AppendResult {
        if (path.isBypassed) relay.append(topic, partition, records)?.let { return it }
        val result = direct.append(topic, partition, records)
        recordDirectCall(result is AppendResult.Appended)
        // If the outcome is unknown, the records may already be in the log. The caller decides whether to append again.
        if (result !is AppendResult.Refused) return result
        return relay.append(topic, partition, records) ?: result
    }

    private suspend fun readDirectlyOrRelayed(
        readDirectly: suspend () -> ReadResult,
        readThroughRelay: suspend () -> ReadResult?,
    ): ReadResult {
        if (path.isBypassed) readThroughRelay()?.let { return it }
        val result = readDirectly()
        recordDirectCall(result !is ReadResult.Unavailable)
        if (result !is ReadResult.Unavailable) return result
        return readThroughRelay() ?: result
    }

    private suspend fun newestDirectlyOrRelayed(topic: String, partition: Int, afterKey: String?): NewestResult {
        if (path.isBypassed) relay.newest(topic, partition, afterKey)?.let { return it }
        val result = direct.newest(topic, partition, afterKey)
        recordDirectCall(result is NewestResult.Page)
        if (result is NewestResult.Page) return result
        return relay.newest(topic, partition, afterKey) ?: result
    }

    private fun recordDirectCall(isSuccess: Boolean) = if (isSuccess) path.onSuccess() else path.onFailure()

    private companion object {
        // Limits how long a relayed read occupies a connection between nodes.
        const val MAXIMUM_RELAYED_WAIT_MILLIS = 500L
    }
}
