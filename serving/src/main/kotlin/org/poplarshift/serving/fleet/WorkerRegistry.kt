package org.poplarshift.serving.fleet

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.delay
import org.poplarshift.core.dispatch.FleetWorker
import org.poplarshift.core.dispatch.LoadBalancer
import org.poplarshift.core.stream.StreamOrigin
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.serving.log.LogRecord
import org.poplarshift.serving.log.RecordReceiver
import org.poplarshift.serving.log.TopicFollower
import org.poplarshift.serving.stream.RegisteredVersions

/** The outcome of decoding a worker's record. */
sealed interface WorkerResult {
    /** The record describes a worker that is cold for [coldMillis] from the time of the record on. */
    data class Valid(val worker: FleetWorker, val coldMillis: Long = 0) : WorkerResult

    /** The record can't be decoded or does not describe a usable worker. */
    data class Invalid(val reason: String) : WorkerResult
}

/**
 * The workers that are registered in a topic of the log.
 *
 * Registry entries expire during an outage of the log although their workers are alive. An entry that expires during or
 * shortly after an outage is therefore kept until [GRACE_MILLIS] after the log has recovered.
 *
 * @param decode decodes a record from its key and value
 * @param onChange called after the load balancer has been updated
 */
class WorkerRegistry(
    private val loadBalancer: LoadBalancer,
    private val clock: MonotonicClock,
    private val decode: (String, ByteArray) -> WorkerResult,
    private val onChange: () -> Unit,
) : RecordReceiver,
    RegisteredVersions {
    private val workers = LinkedHashMap<String, FleetWorker>()
    private val expiredAtMillis = HashMap<String, Long>()
    private var isChanged = false

    /** The follower that delivers the records. Indicates whether reads of the log are failing. */
    lateinit var follower: TopicFollower

    /** Workers with an entry, including expired entries that have not been removed yet. */
    val known: Collection<FleetWorker>
        get() = workers.values

    override val origins: Set<StreamOrigin>
        get() = known.mapTo(HashSet()) { StreamOrigin(it.service, it.softwareVersion) }

    override val asOfMillis: Long
        get() = follower.upToDateMillis

    override fun onRestart() {
        // Entries that still exist are delivered next. All others are treated as expired.
        val now = clock.millis()
        workers.keys.forEach { expiredAtMillis.putIfAbsent(it, now) }
    }

    override fun onRecord(record: LogRecord) {
        if (record.value.isEmpty()) {
            if (record.key in workers) expiredAtMillis.putIfAbsent(record.key, clock.millis())
            return
        }
        expiredAtMillis.remove(record.key)
        when (val result = decode(record.key, record.value)) {
            is WorkerResult.Valid -> put(result.worker.copy(coldUntilMillis = coldUntilMillis(result)))
            is WorkerResult.Invalid -> {
                logger.warn { "registry: record ${record.key} at offset ${record.offset} ignored: ${result.reason}" }
                if (workers.remove(record.key) != null) isChanged = true
            }
        }
    }

    override fun onCaughtUp() {
        removeExpired()
        if (!isChanged) return
        isChanged = false
        loadBalancer.update(workers.values)
        onChange()
    }

    /** Removes expired entries after the grace period. Runs until cancelled. */
    suspend fun run() {
        while (true) {
            delay(CHECK_INTERVAL_MILLIS)
            if (expiredAtMillis.isNotEmpty()) onCaughtUp()
        }
    }

    // The record may have been written long before it is read. The time is then too late, which is safe.
    private fun coldUntilMillis(entry: WorkerResult.Valid): Long {
        if (entry.coldMillis <= 0) return 0
        val stated = clock.millis() + entry.coldMillis
        val known = workers[entry.worker.id]?.coldUntilMillis ?: 0
        return if (stated in known - COLD_TOLERANCE_MILLIS..known) known else stated
    }

    private fun put(worker: FleetWorker) {
        val previous = workers.put(worker.id, worker)
        if (previous == worker) return
        isChanged = true
        if (previous == null || previous.isDraining != worker.isDraining || previous.address != worker.address) {
            logger.atInfo {
                message = if (worker.isDraining) "registry: worker is draining" else "registry: worker is ready"
                payload =
                    mapOf(
                        "worker" to worker.id,
                        "service" to worker.service,
                        "zone" to worker.zone,
                        "address" to worker.address,
                    )
            }
        }
    }

    private fun removeExpired() {
        val now = clock.millis()
        if (follower.isFailing) return
        val isLogStable = isStable(now)
        val removable = expiredAtMillis.filterValues {
            isLogStable ||
                now - maxOf(it, follower.recoveredMillis) >= GRACE_MILLIS
        }
        for ((id, expiredMillis) in removable) {
            expiredAtMillis.remove(id)
            if (workers.remove(id) != null) logRemoval(id, now - expiredMillis, isLogStable)
        }
    }

    private fun logRemoval(id: String, expiredMillisAgo: Long, isLogStable: Boolean) {
        isChanged = true
        logger.atInfo {
            message = "registry: worker is gone"
            payload = mapOf("worker" to id, "lapsed_millis_ago" to expiredMillisAgo, "calm" to isLogStable)
        }
    }

    // Long.MIN_VALUE means that reads of the log have never failed.
    private fun isStable(now: Long): Boolean =
        follower.recoveredMillis == Long.MIN_VALUE || now - follower.recoveredMillis > STABLE_AFTER_MILLIS

    companion object {
        private val logger = KotlinLogging.logger {}

        // Workers that are alive re-register within about two seconds after the log has recovered.
        const val GRACE_MILLIS = 2_300L

        // An entry may expire at the end of an outage, and its removal is then read only afterwards.
        const val STABLE_AFTER_MILLIS = 3_000L

        // Entries that are read with different delays state the same end of a cold phase. Not each of them is a change.
        private const val COLD_TOLERANCE_MILLIS = 1_000L
        private const val CHECK_INTERVAL_MILLIS = 200L
    }
}
