package org.poplarshift.core.quarantine

/**
 * Holds the strikes that one node has recorded or received from its peers. A request with strikes from [strikeLimit]
 * distinct workers is quarantined until the first of these strikes expires.
 *
 * A cleared strike stays cleared, regardless of the order in which updates arrive: merging is commutative and
 * idempotent.
 *
 * @property retentionMillis the lifetime of a strike in milliseconds; a new catalogue may change it for later strikes
 * @param strikeLimit the number of distinct crashed workers that quarantines a request; where suspects share workers
 *   with other requests, a crash also adds strikes for these, and a higher limit keeps them out of quarantine
 */
class QuarantineTable(var retentionMillis: Long, private val strikeLimit: Int = DEFAULT_STRIKE_LIMIT) {
    private val expiries = HashMap<Strike, Long>()
    private val clearedExpiries = HashMap<Strike, Long>()
    private val workersByFingerprint = HashMap<String, MutableSet<String>>()

    /**
     * Returns the quarantine status of [fingerprint].
     *
     * @param ignoredWorkers workers whose crashes have a known cause other than [fingerprint]
     */
    fun statusOf(fingerprint: String, nowMillis: Long, ignoredWorkers: Set<String> = emptySet()): SuspectStatus {
        val workers = workersByFingerprint[fingerprint]?.filter {
            it !in ignoredWorkers && expiries.getValue(Strike(fingerprint, it)) > nowMillis
        }
        return when {
            workers.isNullOrEmpty() -> SuspectStatus.Clear
            workers.size < strikeLimit -> SuspectStatus.Suspect(workers.toSet())
            else -> SuspectStatus.Quarantined
        }
    }

    /** Records that [worker] crashed while it ran [fingerprint]. Returns the update for the peers. */
    fun onWorkerCrash(fingerprint: String, worker: String, nowMillis: Long): QuarantineUpdate {
        val update = QuarantineUpdate(strikes = listOf(StrikeEntry(Strike(fingerprint, worker), retentionMillis)))
        merge(update, nowMillis)
        return update
    }

    /**
     * Clears the strikes of a suspect that has completed: another request caused the crash. Returns the update for the
     * peers, which is empty if [fingerprint] is not a suspect.
     */
    fun onCompleted(fingerprint: String, nowMillis: Long): QuarantineUpdate {
        if (statusOf(fingerprint, nowMillis) !is SuspectStatus.Suspect) return QuarantineUpdate()
        val strikes = workersByFingerprint.getValue(fingerprint).map { Strike(fingerprint, it) }
        val update = QuarantineUpdate(cleared = strikes.map { StrikeEntry(it, expiries.getValue(it) - nowMillis) })
        merge(update, nowMillis)
        return update
    }

    /** Merges [update] into this table. Returns whether it contained anything new. */
    fun merge(update: QuarantineUpdate, nowMillis: Long): Boolean {
        val newlyCleared = update.cleared.count { addCleared(it, nowMillis) }
        val newlyAdded = update.strikes.count { addStrike(it, nowMillis) }
        return newlyCleared + newlyAdded > 0
    }

    /** Merges a record of the stream `quarantine`. [nowEpochMillis] is the current wall-clock time. */
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

    /** Returns all unexpired entries, newest first and at most [limit] of each kind. */
    fun snapshot(nowMillis: Long, limit: Int = Int.MAX_VALUE): QuarantineUpdate = QuarantineUpdate(
        strikes = expiries.toEntries(nowMillis, limit),
        cleared = clearedExpiries.toEntries(nowMillis, limit),
    )

    /** Removes expired entries. */
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
