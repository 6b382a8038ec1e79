package org.poplarshift.core.submission

/**
 * Reduces the records of one partition, in the order of their offsets, to the submissions of its organisations.
 *
 * All decisions that nodes must agree on are made here and depend on nothing but the records: a proposal is accepted if
 * its id is new and its tokens fit, the first result of an item counts, and nothing is listed twice. A writer whose
 * answer got lost, a writer that is late and two writers at once therefore do no harm.
 */
class SubmissionLedger {
    private val submissionsById = LinkedHashMap<String, SubmissionState>()
    private val waitingTokens = HashMap<Pair<String, String>, Long>()
    private val rejectedKeys = ArrayList<String>()

    /** Accepted submissions in the order of their acceptance. */
    val submissions: Collection<SubmissionState>
        get() = submissionsById.values

    /** The accepted submission [id], or null. */
    fun find(id: String): SubmissionState? = submissionsById[id]

    /** Tokens of [organisation] on [route] that wait for a result. */
    fun waitingTokens(organisation: String, route: String): Long = waitingTokens[organisation to route] ?: 0

    /** Whether a proposal of [tokens] would fit now. */
    fun fits(organisation: String, route: String, tokens: Long, limit: Long): Boolean =
        limit == 0L || waitingTokens(organisation, route) + tokens <= limit

    /**
     * Applies [record], which stands under [keys] in the log, and returns what it did.
     *
     * @param content bodies of a proposal, or the output of a result
     */
    fun apply(record: SubmissionRecord, content: ByteArray, keys: List<String>): LedgerEffect = when (record) {
        is SubmissionRecord.Proposed -> propose(record, content, keys)
        is SubmissionRecord.Result -> addResult(record, content, keys)
        is SubmissionRecord.Progress -> saveProgress(record, content, keys)
        is SubmissionRecord.Ended -> end(record, keys)
    }

    /**
     * Forgets the submissions [ids] and returns the keys to remove from the log. Keys of rejected proposals are among
     * them: a reader that no longer sees the submissions before a rejected proposal would accept it.
     */
    fun remove(ids: Collection<String>): List<String> {
        val keys = ArrayList(rejectedKeys)
        rejectedKeys.clear()
        for (id in ids) {
            val removed = submissionsById.remove(id) ?: continue
            keys += removed.keys
            val open = removed.items.filter { !it.hasResult && !removed.isEnded }.sumOf { it.proposed.tokens }
            releaseTokens(removed, open)
        }
        return keys
    }

    private fun propose(record: SubmissionRecord.Proposed, content: ByteArray, keys: List<String>): LedgerEffect {
        val existing = submissionsById[record.submission]
        if (existing != null) {
            existing.keys += keys
            return if (existing.proposal.organisation ==
                record.organisation
            ) {
                LedgerEffect.Duplicate
            } else {
                LedgerEffect.IdConflict
            }
        }
        val tokens = record.items.sumOf { it.tokens }
        if (!fits(record.organisation, record.route, tokens, record.waitingTokensLimit)) {
            rejectedKeys += keys
            return LedgerEffect.Rejected
        }
        val state = SubmissionState(record, content)
        state.keys += keys
        submissionsById[record.submission] = state
        waitingTokens.merge(record.organisation to record.route, tokens, Long::plus)
        return LedgerEffect.Accepted(state)
    }

    private fun addResult(record: SubmissionRecord.Result, content: ByteArray, keys: List<String>): LedgerEffect {
        val state = submissionsById[record.submission] ?: return LedgerEffect.Unknown
        state.keys += keys
        val item = state.item(record.item) ?: return LedgerEffect.Unknown
        if (item.hasResult) return LedgerEffect.Duplicate
        if (!state.isEnded) releaseTokens(state, item.proposed.tokens)
        state.addResult(item, record.isComplete, content)
        return LedgerEffect.ResultAdded(state)
    }

    private fun saveProgress(record: SubmissionRecord.Progress, content: ByteArray, keys: List<String>): LedgerEffect {
        val state = submissionsById[record.submission] ?: return LedgerEffect.Unknown
        state.keys += keys
        val item = state.item(record.item) ?: return LedgerEffect.Unknown
        val existing = item.progress
        if (item.hasResult ||
            (existing != null && existing.lastEvent >= record.lastEvent)
        ) {
            return LedgerEffect.Duplicate
        }
        item.progress = ItemProgress(record.lastEvent, content)
        return LedgerEffect.ProgressSaved
    }

    private fun end(record: SubmissionRecord.Ended, keys: List<String>): LedgerEffect {
        val state = submissionsById[record.submission] ?: return LedgerEffect.Unknown
        state.keys += keys
        if (state.isEnded) return LedgerEffect.Duplicate
        releaseTokens(state, state.items.filter { !it.hasResult }.sumOf { it.proposed.tokens })
        state.isEnded = true
        return LedgerEffect.Ended(state)
    }

    private fun releaseTokens(state: SubmissionState, tokens: Long) {
        val account = state.proposal.organisation to state.proposal.route
        waitingTokens.merge(account, -tokens, Long::plus)
    }
}
