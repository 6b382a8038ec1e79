package org.poplarshift.serving.fleet

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.delay
import org.poplarshift.core.dispatch.FleetWorker
import org.poplarshift.core.dispatch.WorkerBoard
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.serving.log.LogRecord
import org.poplarshift.serving.log.RecordReceiver
import org.poplarshift.serving.log.TopicFollower

/** The outcome of reading a worker's record. */
sealed interface WorkerResult {
    /** The record describes a worker. */
    data class Valid(val worker: FleetWorker) : WorkerResult

    /** The record describes no worker that can be used. */
    data class Invalid(val reason: String) : WorkerResult
}

/**
 * The workers as their registry describes them.
 *
 * Entries lapse while the log is down although their workers live. An entry that goes while the log is disturbed is
 * therefore kept until [GRACE_MILLIS] after its return.
 *
 * @param decode reads a record by its key and value
 * @param onChange called after the board has changed
 */
class WorkerRegistry(
    private val board: WorkerBoard,
    private val clock: MonotonicClock,
    private val decode: (String, ByteArray) -> WorkerResult,
    private val onChange: () -> Unit,
) : RecordReceiver {
    private val workers = LinkedHashMap<String, FleetWorker>()
    private val expiredAtMillis = HashMap<String, Long>()
    private var isChanged = false

    /** The follower that feeds the registry; tells whether the log is disturbed. */
    lateinit var follower: TopicFollower

    /** Workers with an entry or whose entry has just lapsed. */
    val known: Collection<FleetWorker>
        get() = workers.values

    override fun onRestart() {
        // Entries that are still there follow; the others are treated as lapsed.
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
            is WorkerResult.Valid -> put(result.worker)
            is WorkerResult.Invalid -> {
                logger.warn { "registry: record ${record.key} at offset ${record.offset}: ${result.reason}; not used" }
                if (workers.remove(record.key) != null) isChanged = true
            }
        }
    }

    override fun onCaughtUp() {
        removeExpired()
        if (!isChanged) return
        isChanged = false
        board.update(workers.values)
        onChange()
    }

    /** Removes lapsed entries once their time is up, until it is cancelled. */
    suspend fun run() {
        while (true) {
            delay(CHECK_INTERVAL_MILLIS)
            if (expiredAtMillis.isNotEmpty()) onCaughtUp()
        }
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

    // Long.MIN_VALUE stands for a log that never failed.
    private fun isStable(now: Long): Boolean =
        follower.recoveredMillis == Long.MIN_VALUE || now - follower.recoveredMillis > STABLE_AFTER_MILLIS

    companion object {
        private val logger = KotlinLogging.logger {}

        // Workers that live are back in the registry about two seconds after the log's return.
        const val GRACE_MILLIS = 2_300L

        // Entries may lapse in the last moments of an outage and be read only after it.
        const val STABLE_AFTER_MILLIS = 3_000L
        private const val CHECK_INTERVAL_MILLIS = 200L
    }
}
