package org.poplarshift.core.quarantine

/**
 * The strikes that one node knows of, its own and those of its peers. A request with strikes from [strikeLimit] distinct
 * workers is quarantined until the first of them expires.
 *
 * A strike that was cleared stays cleared, in whatever order the update arrives: merging is commutative and idempotent.
 *
 * @property retentionMillis how long a strike counts; a changed catalogue may change it for later strikes
 * @param strikeLimit distinct workers that must have died; where suspects run beside other requests, these are struck as
 *   well, and a higher limit keeps them out of quarantine
 */
class QuarantineTable(var retentionMillis: Long, private val strikeLimit: Int = DEFAULT_STRIKE_LIMIT) {
    private val expiries = HashMap<Strike, Long>()
    private val clearedExpiries = HashMap<Strike, Long>()
    private val workersByFingerprint = HashMap<String, MutableSet<String>>()

    /** What is known about [fingerprint]. */
    fun statusOf(fingerprint: String, nowMillis: Long): SuspectStatus {
        val workers = workersByFingerprint[fingerprint]?.filter {
            expiries.getValue(Strike(fingerprint, it)) > nowMillis
        }
        return when {
            workers.isNullOrEmpty() -> SuspectStatus.Clear
            workers.size < strikeLimit -> SuspectStatus.Suspect(workers.toSet())
            else -> SuspectStatus.Quarantined
        }
    }

    /** Notes that [worker] died while it ran [fingerprint]; returns what to tell peers. */
    fun onWorkerCrash(fingerprint: String, worker: String, nowMillis: Long): QuarantineUpdate {
        val update = QuarantineUpdate(strikes = listOf(StrikeEntry(Strike(fingerprint, worker), retentionMillis)))
        merge(update, nowMillis)
        return update
    }

    /** Notes that [fingerprint] has completed, so that its one strike was another request's fault. */
    fun onCompleted(fingerprint: String, nowMillis: Long): QuarantineUpdate {
        if (statusOf(fingerprint, nowMillis) !is SuspectStatus.Suspect) return QuarantineUpdate()
        val strikes = workersByFingerprint.getValue(fingerprint).map { Strike(fingerprint, it) }
        val update = QuarantineUpdate(cleared = strikes.map { StrikeEntry(it, expiries.getValue(it) - nowMillis) })
        merge(update, nowMillis)
        return update
    }

    /** Adds what a peer knows; returns whether anything was new. */
    fun merge(update: QuarantineUpdate, nowMillis: Long): Boolean {
        val newlyCleared = update.cleared.count { addCleared(it, nowMillis) }
        val newlyAdded = update.strikes.count { addStrike(it, nowMillis) }
        return newlyCleared + newlyAdded > 0
    }

    /** Adds a record of the stream `quarantine`; [nowEpochMillis] is the wall-clock time. */
    fun apply(record: QuarantineRecord, nowEpochMillis: Long, nowMillis: Long) {
        val age = maxOf(0, nowEpochMillis - record.writtenEpochMillis)
        if (age >= retentionMillis) return
        val remaining = retentionMillis - age
        val update = when (record) {
            is QuarantineRecord.StrikesRecorded -> QuarantineUpdate(strikes = record.strikes.withRemaining(remaining))
            is QuarantineRecord.StrikesCleared -> QuarantineUpdate(cleared = record.strikes.withRemaining(remaining))
        }
        merge(update, nowMillis)
    }

    /** Everything that has not expired, at most [limit] entries of each kind, the newest first. */
    fun snapshot(nowMillis: Long, limit: Int = Int.MAX_VALUE): QuarantineUpdate = QuarantineUpdate(
        strikes = expiries.toEntries(nowMillis, limit),
        cleared = clearedExpiries.toEntries(nowMillis, limit),
    )

    /** Forgets what has expired. */
    fun expire(nowMillis: Long) {
        clearedExpiries.values.removeIf { it <= nowMillis }
        expiries.filterValues { it <= nowMillis }.keys.toList().forEach { removeStrike(it) }
    }

    private fun addStrike(entry: StrikeEntry, nowMillis: Long): Boolean {
        if (entry.strike in clearedExpiries || entry.strike in expiries || entry.remainingMillis <= 0) return false
        expiries[entry.strike] = nowMillis + minOf(entry.remainingMillis, retentionMillis)
        workersByFingerprint.getOrPut(entry.strike.fingerprint) { mutableSetOf() } += entry.strike.worker
        return true
    }

    private fun addCleared(entry: StrikeEntry, nowMillis: Long): Boolean {
        if (entry.strike in clearedExpiries || entry.remainingMillis <= 0) return false
        clearedExpiries[entry.strike] = nowMillis + minOf(entry.remainingMillis, retentionMillis)
        removeStrike(entry.strike)
        return true
    }

    private fun removeStrike(strike: Strike) {
        expiries -= strike
        val workers = workersByFingerprint[strike.fingerprint] ?: return
        workers -= strike.worker
        if (workers.isEmpty()) workersByFingerprint -= strike.fingerprint
    }

    private fun Map<Strike, Long>.toEntries(nowMillis: Long, limit: Int): List<StrikeEntry> = entries
        .filter { it.value > nowMillis }
        .sortedByDescending { it.value }
        .take(limit)
        .map { StrikeEntry(it.key, it.value - nowMillis) }

    private fun List<Strike>.withRemaining(remainingMillis: Long) = map { StrikeEntry(it, remainingMillis) }

    private companion object {
        const val DEFAULT_STRIKE_LIMIT = 2
    }
}
