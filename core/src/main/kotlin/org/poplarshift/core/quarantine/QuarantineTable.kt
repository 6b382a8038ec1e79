package org.poplarshift.core.quarantine

/**
 * The strikes that one node knows of, its own and those of its peers. A request with strikes from [strikeLimit] distinct
 * workers is quarantined until the first of them expires.
 *
 * A strike that was cleared stays cleared, in whatever order the news arrives: merging is commutative and idempotent.
 *
 * @property retentionMillis how long a strike counts; a changed catalogue may change it for later strikes
 * @param strikeLimit distinct workers that must have died; where suspects run beside other requests, these are struck as
 *   well, and a higher limit keeps them out of quarantine
 */
class QuarantineTable(var retentionMillis: Long, private val strikeLimit: Int = STRIKES_TO_QUARANTINE) {
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
    fun onDeath(fingerprint: String, worker: String, nowMillis: Long): QuarantineNews {
        val news = QuarantineNews(strikes = listOf(StrikeNews(Strike(fingerprint, worker), retentionMillis)))
        merge(news, nowMillis)
        return news
    }

    /** Notes that [fingerprint] has completed, so that its one strike was another request's fault. */
    fun onCompleted(fingerprint: String, nowMillis: Long): QuarantineNews {
        if (statusOf(fingerprint, nowMillis) !is SuspectStatus.Suspect) return QuarantineNews()
        val strikes = workersByFingerprint.getValue(fingerprint).map { Strike(fingerprint, it) }
        val news = QuarantineNews(cleared = strikes.map { StrikeNews(it, expiries.getValue(it) - nowMillis) })
        merge(news, nowMillis)
        return news
    }

    /** Adds what a peer knows; returns whether anything was new. */
    fun merge(news: QuarantineNews, nowMillis: Long): Boolean {
        val newlyCleared = news.cleared.count { clear(it, nowMillis) }
        val newlyStruck = news.strikes.count { strike(it, nowMillis) }
        return newlyCleared + newlyStruck > 0
    }

    /** Adds a record of the stream `quarantine`; [nowEpochMillis] is the wall-clock time. */
    fun apply(record: QuarantineRecord, nowEpochMillis: Long, nowMillis: Long) {
        val age = maxOf(0, nowEpochMillis - record.writtenEpochMillis)
        if (age >= retentionMillis) return
        val remaining = retentionMillis - age
        val news = when (record) {
            is QuarantineRecord.StrikesNoted -> QuarantineNews(strikes = record.strikes.withRemaining(remaining))
            is QuarantineRecord.StrikesCleared -> QuarantineNews(cleared = record.strikes.withRemaining(remaining))
        }
        merge(news, nowMillis)
    }

    /** Everything that has not expired, at most [limit] entries of each kind, the newest first. */
    fun news(nowMillis: Long, limit: Int = Int.MAX_VALUE): QuarantineNews =
        QuarantineNews(strikes = expiries.toNews(nowMillis, limit), cleared = clearedExpiries.toNews(nowMillis, limit))

    /** Forgets what has expired. */
    fun expire(nowMillis: Long) {
        clearedExpiries.values.removeIf { it <= nowMillis }
        expiries.filterValues { it <= nowMillis }.keys.toList().forEach { remove(it) }
    }

    private fun strike(news: StrikeNews, nowMillis: Long): Boolean {
        if (news.strike in clearedExpiries || news.strike in expiries || news.remainingMillis <= 0) return false
        expiries[news.strike] = nowMillis + minOf(news.remainingMillis, retentionMillis)
        workersByFingerprint.getOrPut(news.strike.fingerprint) { mutableSetOf() } += news.strike.worker
        return true
    }

    private fun clear(news: StrikeNews, nowMillis: Long): Boolean {
        if (news.strike in clearedExpiries || news.remainingMillis <= 0) return false
        clearedExpiries[news.strike] = nowMillis + minOf(news.remainingMillis, retentionMillis)
        remove(news.strike)
        return true
    }

    private fun remove(strike: Strike) {
        expiries -= strike
        val workers = workersByFingerprint[strike.fingerprint] ?: return
        workers -= strike.worker
        if (workers.isEmpty()) workersByFingerprint -= strike.fingerprint
    }

    private fun Map<Strike, Long>.toNews(nowMillis: Long, limit: Int): List<StrikeNews> = entries
        .filter { it.value > nowMillis }
        .sortedByDescending { it.value }
        .take(limit)
        .map { StrikeNews(it.key, it.value - nowMillis) }

    private fun List<Strike>.withRemaining(remainingMillis: Long) = map { StrikeNews(it, remainingMillis) }

    private companion object {
        const val STRIKES_TO_QUARANTINE = 2
    }
}
