package org.poplarshift.serving.stream

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.delay
import org.poplarshift.core.stream.StreamOrigin
import org.poplarshift.core.stream.VersionLedger
import org.poplarshift.core.stream.VersionReaders
import org.poplarshift.serving.BackgroundTasks
import org.poplarshift.serving.Backoff
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.serving.log.AppendResult
import org.poplarshift.serving.log.LogRecord
import org.poplarshift.serving.log.PartitionedLog
import org.poplarshift.serving.log.RecordReceiver
import org.poplarshift.serving.log.SharedCatchUp
import org.poplarshift.serving.log.TopicFollower

/**
 * Records the software versions of the registered workers in a keyed topic.
 *
 * All nodes learn of a new version at about the same time, and each of them that has not read the record appends it.
 * They don't wait for each other, because a version takes no streams until it is recorded.
 */
class VersionRecords(
    private val tasks: BackgroundTasks,
    private val clock: MonotonicClock,
    private val log: PartitionedLog,
    private val nodeName: String,
    private val registered: RegisteredVersions,
) : RecordReceiver,
    RecordedVersions {
    private val ledger = VersionLedger()
    private val readers = VersionReaders()
    private val originsByKey = HashMap<String, StreamOrigin>()
    private val listeners = ArrayList<(String) -> Unit>()
    private val unrecordable = HashSet<String>()
    private var announced = emptySet<StreamOrigin>()
    private var isWriting = false
    private lateinit var follower: TopicFollower
    private lateinit var catchUp: SharedCatchUp
    private lateinit var removal: VersionRemoval

    /** Whether all records have been read once and this node is a member. Until then no stream may begin. */
    val isReady: Boolean
        get() = ledger.isRead && readers.isMember(nodeName)

    /** Sets the [follower] that delivers the records. */
    fun attach(follower: TopicFollower) {
        this.follower = follower
        catchUp = SharedCatchUp(tasks, clock, log, follower)
        removal = VersionRemoval(tasks, clock, log, follower, catchUp, nodeName, registered, ledger, readers)
    }

    /** Removes the records of versions whose workers have left, until cancelled. */
    suspend fun run() = removal.run()

    /** Whether [key] is the key of a record that other receivers of the topic ignore. */
    fun isVersionKey(key: String): Boolean =
        VersionRecordFormat.isVersionKey(key) || VersionRecordFormat.statingNode(key) != null

    // A record is not removed before all members have observed that, so only a member may rely on it.
    override fun isRecorded(service: String, softwareVersion: String): Boolean =
        readers.isMember(nodeName) && ledger.isActive(StreamOrigin(service, softwareVersion))

    override fun recorded(service: String): Set<String> =
        ledger.recorded.filter { it.service == service }.map { it.softwareVersion }.toSet()

    override suspend fun confirmed(services: Set<String>): Set<StreamOrigin>? =
        if (catchUp.await()) ledger.recorded.filter { it.service in services }.toSet() else null

    override fun onGrowth(listener: (service: String) -> Unit) {
        listeners += listener
    }

    override fun onRestart() {
        ledger.onRestart()
        readers.onRestart()
    }

    override fun onRecord(record: LogRecord) {
        val node = VersionRecordFormat.statingNode(record.key)
        when {
            node != null -> VersionRecordFormat.decodeStatement(record)?.let { readers.onStatement(node, it) }
            VersionRecordFormat.isVersionKey(record.key) -> onVersion(record)
            record.isDeletion -> readers.onMemberRemoval(record.key)
            else -> readers.onMember(record.key, clock.millis())
        }
    }

    private fun onVersion(record: LogRecord) {
        if (record.isDeletion) {
            originsByKey.remove(record.key)?.let { ledger.onRemoval(it, record.offset) }
            return
        }
        val version = VersionRecordFormat.decode(record) ?: return
        originsByKey[record.key] = version.origin
        ledger.onRecord(version.origin, record.offset, version.isRetiring, clock.millis())
    }

    override fun onCaughtUp() {
        readers.onCaughtUp()
        ledger.onCaughtUp(follower.position)
        catchUp.onCaughtUp()
        announceGrowth()
        recordMissing()
    }

    /** Records the versions of workers that were registered meanwhile. */
    fun onWorkersChanged() = recordMissing()

    private fun recordMissing() {
        if (isWriting || missing().isEmpty()) return
        isWriting = true
        tasks.launch("version records") {
            val backoff = Backoff(FIRST_RETRY_MILLIS, MAXIMUM_RETRY_MILLIS)
            var origins = missing()
            while (origins.isNotEmpty()) {
                if (!append(origins)) delay(backoff.next())
                origins = missing()
            }
            isWriting = false
        }
    }

    private fun missing(): List<StreamOrigin> =
        ledger.missing(registered.origins).filter { isRecordable(it) }.take(MAXIMUM_RECORDS)

    // Registry entries may come from other writers. A record that the log refuses must not keep out the others.
    private fun isRecordable(origin: StreamOrigin): Boolean {
        if (origin.service.length + origin.softwareVersion.length <= MAXIMUM_NAME_LENGTH) return true
        val name = "${origin.service.take(LOGGED_LENGTH)}/${origin.softwareVersion.take(LOGGED_LENGTH)}"
        if (unrecordable.add(name)) logger.warn { "versions: $name is too long, no streams begin at its workers" }
        return false
    }

    private suspend fun append(origins: List<StreamOrigin>): Boolean {
        val result = log.append(follower.topic, follower.partition, origins.map { VersionRecordFormat.record(it) })
        if (result !is AppendResult.Appended) {
            logger.info { "versions: recording $origins failed, trying again: $result" }
            return false
        }
        origins.forEachIndexed { index, origin -> ledger.onAppended(origin, result.offset + index) }
        announceGrowth()
        return true
    }

    private fun announceGrowth() {
        val recorded = ledger.recorded
        val added = recorded - announced
        announced = recorded
        if (added.isEmpty()) return
        logger.atInfo {
            message = "versions: streams may begin at further software versions"
            payload = mapOf("added" to added.joinToString(",") { "${it.service}/${it.softwareVersion}" })
        }
        added.map { it.service }.toSet().forEach { service -> listeners.forEach { it(service) } }
    }

    private companion object {
        val logger = KotlinLogging.logger {}
        const val FIRST_RETRY_MILLIS = 100L
        const val MAXIMUM_RETRY_MILLIS = 2_000L

        // Keeps an append well below the maximum size.
        const val MAXIMUM_RECORDS = 100
        const val MAXIMUM_NAME_LENGTH = 1_000
        const val LOGGED_LENGTH = 100
    }
}
