package org.poplarshift.serving.fleet

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.poplarshift.core.submission.KeyedValue
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.serving.log.AppendResult
import org.poplarshift.serving.log.LogRecord
import org.poplarshift.serving.log.PartitionedLog
import org.poplarshift.serving.log.RecordReceiver

/**
 * The record with which a node announces itself to the other nodes.
 *
 * @property peerAddress IP address and port for messages between nodes
 * @property speed processor time per second that the node's VM has, in seconds of a core
 */
@Serializable
data class FleetMember(val name: String, val zone: String, val peerAddress: String, val speed: Double = 1.0)

/**
 * The nodes of the fleet, as announced in a keyed topic.
 *
 * A node is a member until its record is removed or has not been renewed for [EXPIRY_MILLIS]. A node that can't reach
 * the log can't renew its record but continues to serve callers, so only the time counts in which this node reads the log.
 */
class FleetMembers(
    private val log: PartitionedLog,
    private val clock: MonotonicClock,
    private val topic: String,
    private val self: FleetMember,
    private val onChange: () -> Unit = {},
) : RecordReceiver {
    /** A member whose record was read after [readTimeMillis]. */
    private class MemberEntry(val member: FleetMember, val readTimeMillis: Long)

    private val entries = HashMap<String, MemberEntry>()
    private val firstRead = CompletableDeferred<Unit>()
    private var isAnnounced = false
    private var readTimeMillis = 0L
    private var caughtUpMillis: Long? = null

    /** Monotonic time in milliseconds before the last append that renewed this node's record. */
    var renewedMillis = clock.millis()
        private set

    /**
     * Whether the members contained this node's record before this process announced itself, because an earlier process of
     * the node has left it.
     */
    var hasPredecessor = false
        private set

    /** Whether this node has read its own record. */
    val isMember: Boolean
        get() = self.name in entries

    // The size when the members were last read, while they are read anew.
    private var sizeBeforeRestart: Int? = UNREAD_SIZE

    /** Number of nodes in the fleet, including this one. */
    val size: Int
        get() = entries.size + if (self.name in entries) 0 else 1

    /**
     * Number of nodes among which limits are divided: a large number as long as the members have not been read, and the
     * number before while they are read anew.
     */
    val assumedSize: Int
        get() = sizeBeforeRestart ?: size

    /** The other nodes of the fleet. */
    val peers: List<FleetMember>
        get() = entries.values.map { it.member }.filter { it.name != self.name }

    override fun onRestart() {
        sizeBeforeRestart = assumedSize
        entries.clear()
    }

    override fun onRecord(record: LogRecord) {
        if (record.value.isEmpty()) {
            entries.remove(record.key)
        } else {
            val member = try {
                Json.decodeFromString(FleetMember.serializer(), record.value.decodeToString())
            } catch (exception: SerializationException) {
                logger.warn { "fleet: record ${record.key} at offset ${record.offset} ignored: ${exception.message}" }
                return
            }
            entries[record.key] = MemberEntry(member, readTimeMillis)
        }
    }

    override fun onCaughtUp() {
        val now = clock.millis()
        if (!firstRead.isCompleted) hasPredecessor = !isAnnounced && isMember
        firstRead.complete(Unit)
        readTimeMillis += minOf(now - (caughtUpMillis ?: now), MAXIMUM_READ_GAP_MILLIS)
        caughtUpMillis = now
        entries.values.removeIf { readTimeMillis - it.readTimeMillis > EXPIRY_MILLIS }
        sizeBeforeRestart = null
        onChange()
    }

    /** Announces this node, once it has read the members, and renews its record until cancelled. */
    suspend fun run() {
        withTimeoutOrNull(FIRST_READ_MILLIS) { firstRead.await() }
        isAnnounced = true
        while (true) {
            val startedMillis = clock.millis()
            val value = Json.encodeToString(FleetMember.serializer(), self).encodeToByteArray()
            val result = log.append(topic, PARTITION, listOf(KeyedValue(self.name, value)))
            if (result is AppendResult.Appended) {
                renewedMillis = startedMillis
            } else {
                logger.info { "fleet: this node is not announced yet: $result" }
            }
            delay(if (result is AppendResult.Appended) RENEWAL_INTERVAL_MILLIS else RETRY_MILLIS)
        }
    }

    companion object {
        private val logger = KotlinLogging.logger {}

        /** The partition of the topic that holds the records. */
        const val PARTITION = 0

        /** More nodes than most fleets have, so that a node without knowledge of the others uses little of a limit. */
        const val UNREAD_SIZE = 100

        // Longer than the usual time for which a single node or zone is cut off from the log while it continues to serve.
        const val EXPIRY_MILLIS = 60_000L

        // Longer than the wait time of a read. After a longer gap the log could not be read.
        private const val MAXIMUM_READ_GAP_MILLIS = 5_000L
        private const val RENEWAL_INTERVAL_MILLIS = 15_000L
        private const val RETRY_MILLIS = 500L

        // A node that can't read the log can't append to it either.
        private const val FIRST_READ_MILLIS = 1_000L
    }
}
