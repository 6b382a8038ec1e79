package org.poplarshift.core.quarantine

/**
 * Finds the prompt parts that crash workers, from the crashes and the answers that the nodes observe.
 *
 * A part of this kind crashes each worker that begins to answer a request with it, so a single request with the part
 * that a worker has begun to answer acquits it. The requests with the part differ in everything else and share other
 * parts with harmless requests. Therefore a part is blamed only if
 * - [STRIKE_LIMIT] distinct workers crashed before they had begun to answer requests with it, and these requests differ,
 * - no node has seen a worker begin to answer a request with it,
 * - some of these requests were sent after a strike of the part was known, because the crashes would otherwise be those
 *   of an outage,
 * - requests without it have been answered since its first strike, here or at a peer, so that the workers were able to
 *   answer,
 * - no other part with more crashes accounts for them.
 *
 * Parts that were in the same crashes can't be told apart. They are blamed together: a request with only some of them is
 * sent, and its outcome decides.
 *
 * @param retentionMillis the lifetime of strikes and acquittals in milliseconds
 */
class PromptPartTable(private val retentionMillis: Long) {
    private class Evidence(val sinceMillis: Long, val answeredBefore: Long) {
        var isConfirmed = false
        val expiries = LinkedHashMap<PromptPartStrike, Long>()
        val workers: Set<String>
            get() = expiries.keys.map { it.worker }.toSet()
        val requests: Set<String>
            get() = expiries.keys.map { it.request }.toSet()
    }

    private class Culprit(val parts: Set<String>, val workers: Set<String>)

    private val evidenceByPart = LinkedHashMap<String, Evidence>()
    private val acquittalExpiries = LinkedHashMap<String, Long>()
    private val answeredMillis = object : LinkedHashMap<String, Long>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: Map.Entry<String, Long>): Boolean = size > MAXIMUM_ANSWERED_PARTS
    }
    private var answeredRequests = 0L
    private var cachedCulprits: List<Culprit>? = emptyList()

    /** Whether no part has a strike. */
    val isEmpty: Boolean
        get() = evidenceByPart.isEmpty()

    /** Records that a worker has begun to answer a request with [parts]. Returns the update for the peers. */
    fun onAnswered(parts: Collection<String>, nowMillis: Long): PromptPartUpdate {
        answeredRequests++
        parts.forEach { answeredMillis[it] = nowMillis }
        if (!isEmpty) cachedCulprits = null
        return acquit(parts.filter { it in evidenceByPart }, nowMillis)
    }

    /**
     * Records that [worker] crashed before it had begun to answer [request] with [parts]. Returns the update for the
     * peers.
     *
     * @param sentMillis time at which the request was sent to the worker
     */
    fun onWorkerCrash(
        request: String,
        worker: String,
        parts: Collection<String>,
        sentMillis: Long,
        nowMillis: Long,
    ): PromptPartUpdate {
        val strikes = parts.filter { !isHarmless(it) }.map { part ->
            val isRepeated = evidenceByPart[part]?.let { it.sinceMillis <= sentMillis } == true
            PromptPartStrike(part, worker, request, isRepeated)
        }
        val update = PromptPartUpdate(strikes = strikes.map { PromptPartStrikeEntry(it, retentionMillis) })
        return update + merge(update, nowMillis)
    }

    /**
     * Merges an [update] of a peer.
     *
     * Returns the acquittals that the peers lack: parts that are about to be blamed although this node has seen a worker
     * answer them.
     */
    fun merge(update: PromptPartUpdate, nowMillis: Long): PromptPartUpdate {
        update.acquittals.filter { it.remainingMillis > 0 }.forEach { addAcquittal(it, nowMillis) }
        update.strikes.filter { it.remainingMillis > 0 }.forEach { addStrike(it, nowMillis) }
        update.confirmedParts.mapNotNull { evidenceByPart[it] }.forEach { it.isConfirmed = true }
        val struck = update.strikes.map { it.strike.part }.toSet()
        return acquit(struck.filter { it in answeredMillis && isAlmostBlamed(it) }, nowMillis)
    }

    /** Returns the parts among [parts] that are blamed for crashes, or an empty set. */
    fun blamedParts(parts: Collection<String>): Set<String> {
        if (parts.none { it in evidenceByPart }) return emptySet()
        return culprits().firstOrNull { parts.containsAll(it.parts) }?.parts.orEmpty()
    }

    /** All parts that are blamed for crashes. */
    val allBlamedParts: Set<String>
        get() = if (isEmpty) emptySet() else culprits().flatMap { it.parts }.toSet()

    /** The workers whose crashes are explained by blamed parts, so that they say nothing about other requests. */
    fun explainedWorkers(): Set<String> = if (isEmpty) emptySet() else culprits().flatMap { it.workers }.toSet()

    /**
     * Returns an update for the peers with the parts that this node blames on its own, and with all strikes of them.
     *
     * A peer that has few requests may not see any answers, and would otherwise never blame them.
     */
    fun confirm(nowMillis: Long): PromptPartUpdate {
        if (isEmpty) return PromptPartUpdate()
        val confirmed = allBlamedParts.filter { !evidenceByPart.getValue(it).isConfirmed }.toSet()
        confirmed.forEach { evidenceByPart.getValue(it).isConfirmed = true }
        return PromptPartUpdate(strikes = confirmed.flatMap { strikesOf(it, nowMillis) }, confirmedParts = confirmed)
    }

    /**
     * Extends the lifetime of the strikes of [parts], because requests with them keep arriving. Returns the update for
     * the peers, which is empty while more than half of the lifetime remains.
     */
    fun renew(parts: Collection<String>, nowMillis: Long): PromptPartUpdate {
        val due = parts.mapNotNull { evidenceByPart[it] }
            .filter { evidence -> evidence.expiries.values.any { it - nowMillis < retentionMillis / 2 } }
        val strikes = due.flatMap { it.expiries.keys }.map { PromptPartStrikeEntry(it, retentionMillis) }
        return PromptPartUpdate(strikes).also { merge(it, nowMillis) }
    }

    /** Returns all entries, those that expire last first and at most [limit] of each kind. */
    fun snapshot(nowMillis: Long, limit: Int = Int.MAX_VALUE): PromptPartUpdate = PromptPartUpdate(
        strikes = evidenceByPart.values
            .flatMap { it.expiries.entries }
            .sortedByDescending { it.value }
            .take(limit)
            .map { PromptPartStrikeEntry(it.key, it.value - nowMillis) },
        acquittals = acquittalExpiries.entries
            .sortedByDescending { it.value }
            .take(limit)
            .map { PromptPartAcquittal(it.key, it.value - nowMillis) },
        confirmedParts = evidenceByPart.filterValues { it.isConfirmed }.keys.toSet(),
    )

    /** Removes expired entries. */
    fun expire(nowMillis: Long) {
        acquittalExpiries.values.removeIf { it <= nowMillis }
        answeredMillis.values.removeIf { it <= nowMillis - retentionMillis }
        evidenceByPart.values.forEach { evidence -> evidence.expiries.values.removeIf { it <= nowMillis } }
        evidenceByPart.values.removeIf { it.expiries.isEmpty() }
        cachedCulprits = null
    }

    private fun strikesOf(part: String, nowMillis: Long): List<PromptPartStrikeEntry> =
        evidenceByPart.getValue(part).expiries
            .map { (strike, expiry) -> PromptPartStrikeEntry(strike, expiry - nowMillis) }

    private fun isHarmless(part: String): Boolean = part in answeredMillis || part in acquittalExpiries

    private fun isAlmostBlamed(part: String): Boolean =
        evidenceByPart[part]?.let { it.workers.size >= STRIKE_LIMIT - 1 } == true

    private fun acquit(parts: Collection<String>, nowMillis: Long): PromptPartUpdate {
        val acquittals = parts.map { PromptPartAcquittal(it, retentionMillis) }
        acquittals.forEach { addAcquittal(it, nowMillis) }
        return PromptPartUpdate(acquittals = acquittals)
    }

    private fun addAcquittal(acquittal: PromptPartAcquittal, nowMillis: Long) {
        val expiry = nowMillis + minOf(acquittal.remainingMillis, retentionMillis)
        acquittalExpiries.merge(acquittal.part, expiry, ::maxOf)
        if (evidenceByPart.remove(acquittal.part) != null) cachedCulprits = null
    }

    private fun addStrike(entry: PromptPartStrikeEntry, nowMillis: Long) {
        if (entry.strike.part in acquittalExpiries) return
        cachedCulprits = null
        val evidence = evidenceByPart.getOrPut(entry.strike.part) { Evidence(nowMillis, answeredRequests) }
        evidence.expiries.merge(entry.strike, nowMillis + minOf(entry.remainingMillis, retentionMillis), ::maxOf)
        if (evidenceByPart.size > MAXIMUM_STRUCK_PARTS) evidenceByPart -= evidenceByPart.keys.first()
    }

    private fun culprits(): List<Culprit> = cachedCulprits ?: findCulprits().also { cachedCulprits = it }

    // The part with the most crashes comes first. What it explains does not count against the others.
    private fun findCulprits(): List<Culprit> {
        val culprits = ArrayList<Culprit>()
        val explained = HashSet<String>()
        var candidates = evidenceByPart.filterKeys { it !in answeredMillis }
        while (true) {
            candidates = candidates.filterValues { it.isSufficient(explained) }
            val strongest =
                candidates.values.maxWithOrNull(compareBy({ it.workers.size }, { it.requests.size })) ?: break
            val parts = candidates.filterValues { it.workers == strongest.workers }.keys
            culprits += Culprit(parts, strongest.workers)
            explained += strongest.workers
        }
        return culprits
    }

    private fun Evidence.isSufficient(explainedWorkers: Set<String>): Boolean {
        val strikes = expiries.keys.filter { it.worker !in explainedWorkers }
        return strikes.distinctBy { it.worker }.size >= STRIKE_LIMIT &&
            strikes.distinctBy { it.request }.size >= REQUEST_LIMIT &&
            strikes.filter { it.isRepeated }.distinctBy { it.worker }.size >= REPEATED_LIMIT &&
            (isConfirmed || answeredRequests - answeredBefore >= ANSWER_LIMIT)
    }

    private companion object {
        const val STRIKE_LIMIT = 3

        // A harmless request that is sent again while workers crash collects strikes by itself.
        const val REQUEST_LIMIT = 2

        // A harmless request that is sent again in an outage may lose another worker.
        const val REPEATED_LIMIT = 2

        // If no worker can answer, for example in an outage of all workers, crashes say nothing about parts.
        const val ANSWER_LIMIT = 3

        // The parts that recur in the traffic of one node within some minutes.
        const val MAXIMUM_ANSWERED_PARTS = 4_096

        // Parts of a few hundred crashes. Most of them are used by one request each.
        const val MAXIMUM_STRUCK_PARTS = 1_024
        const val INITIAL_CAPACITY = 64
        const val LOAD_FACTOR = 0.75f
    }
}
