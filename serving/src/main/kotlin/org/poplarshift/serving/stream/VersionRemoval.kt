package org.poplarshift.serving.stream

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.delay
import org.poplarshift.core.stream.StreamOrigin
import org.poplarshift.core.stream.VersionLedger
import org.poplarshift.core.stream.VersionReaders
import org.poplarshift.core.stream.VersionRetirement
import org.poplarshift.serving.BackgroundTasks
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.serving.log.PartitionedLog
import org.poplarshift.serving.log.SharedCatchUp
import org.poplarshift.serving.log.TopicFollower
import org.poplarshift.serving.quarantine.NodeRecordWriter
import kotlin.random.Random

/** Removes the records of versions whose workers have left, see [VersionRetirement]. */
internal class VersionRemoval(
    tasks: BackgroundTasks,
    private val clock: MonotonicClock,
    private val log: PartitionedLog,
    private val follower: TopicFollower,
    private val catchUp: SharedCatchUp,
    nodeName: String,
    private val registered: RegisteredVersions,
    private val ledger: VersionLedger,
    readers: VersionReaders,
) {
    private val retirement = VersionRetirement(nodeName, ledger, readers)
    private var statedPosition = 0L

    // All nodes state at about the same time. The delay distributes their appends.
    private val statement = NodeRecordWriter(
        tasks,
        log,
        follower.topic,
        VersionRecordFormat.statementKey(nodeName),
        delayMillis = Random.nextLong(MAXIMUM_STATEMENT_DELAY_MILLIS),
    ) { VersionRecordFormat.encodeStatement(statedPosition) }
    private var scheduledMillis: Long? = null

    /** Checks in regular intervals until cancelled. */
    suspend fun run() {
        while (true) {
            delay(INTERVAL_MILLIS)
            retirement.observe(registered.origins, registered.asOfMillis)
            state()
            retire()
            remove()
        }
    }

    private fun state() {
        val now = clock.millis()
        statedPosition = retirement.positionToState(now) ?: return
        if (now - (scheduledMillis ?: (now - RESTATEMENT_MILLIS)) < RESTATEMENT_MILLIS) return
        scheduledMillis = now
        statement.schedule()
    }

    private suspend fun retire() {
        val origins = retirement.versionsToRetire(clock.millis())
        if (origins.isEmpty()) return
        val records = origins.map { VersionRecordFormat.record(it, isRetiring = true) }
        log("marking versions as retiring", origins, log.append(follower.topic, follower.partition, records))
    }

    private suspend fun remove() {
        if (retirement.versionsToRemove(clock.millis()).isEmpty() || !catchUp.await()) return
        val origins = retirement.versionsToRemove(clock.millis())
        if (origins.isEmpty()) return
        val records = origins.map { VersionRecordFormat.removal(it) }
        val result = log.appendAt(follower.topic, follower.partition, records, follower.position)
        log("removing the records of versions", origins, result)
    }

    private fun log(action: String, origins: List<StreamOrigin>, result: Any) = logger.atInfo {
        message = "versions: $action"
        payload = mapOf(
            "versions" to origins.joinToString(",") { "${it.service}/${it.softwareVersion}" },
            "recorded" to ledger.recorded.size,
            "result" to "$result",
        )
    }

    private companion object {
        val logger = KotlinLogging.logger {}

        // Longer than it takes to read a record back.
        const val INTERVAL_MILLIS = 2_000L
        const val MAXIMUM_STATEMENT_DELAY_MILLIS = 5_000L

        // Longer than the delay and the retries of a statement in a calm log.
        const val RESTATEMENT_MILLIS = 20_000L
    }
}
