package org.poplarshift.core.submission

/**
 * Reduces the records of one partition, in the order of their offsets, to the submissions of its organisations.
 *
 * All decisions on which nodes must agree are made here and depend only on the records. A proposal is accepted if its
 * id is new and its tokens are within the limit, and only the first result of an item counts. Repeated writes after a
 * lost response, late writes and concurrent writes are therefore harmless.
 */
class SubmissionLedger {
    private val submissionsById = LinkedHashMap<String, SubmissionState>()
    private val waitingTokens = HashMap<Pair<String, String>, Long>()
    private val submissionsByFirstKey = HashMap<String, String>()

    // Keys of records that are in the log and belong to no submission. A key is kept until its deletion has been read,
    // because the deletion may fail.
    private val obsoleteKeys = LinkedHashSet<String>()

    // Keys of their contents by the ids of the records.
    private val obsoleteContentKeys = LinkedHashMap<String, List<String>>()

    /** Accepted submissions in the order in which they were accepted. */
    val submissions: Collection<SubmissionState>
        get() = submissionsById.values

    /** Returns the accepted submission [id], or null. */
    fun find(id: String): SubmissionState? = submissionsById[id]

    /** Returns the tokens of the items of [organisation] on [route] that wait for a result. */
    fun waitingTokens(organisation: String, route: String): Long = waitingTokens[organisation to route] ?: 0

    /** Returns whether a proposal with [tokens] is currently within [limit]; 0 means no limit. */
    fun fits(organisation: String, route: String, tokens: Long, limit: Long): Boolean =
        limit == 0L || waitingTokens(organisation, route) + tokens <= limit

    /**
     * Applies [record] and returns its effect.
     *
     * @param content the place of the bodies of a proposal, or the output of a result or of a run in progress
     * @param keys the keys of the record's parts in the log
     */
    fun apply(record: SubmissionRecord, content: RecordContent, keys: List<String>): LedgerEffect = when (record) {
        is SubmissionRecord.Proposed -> propose(record, content, keys)
        is SubmissionRecord.Result -> addResult(record, content, keys)
        is SubmissionRecord.Progress -> saveProgress(record, content, keys)
        is SubmissionRecord.Ended -> end(record, keys)
    }

    /**
     * Returns the keys to delete from the log in order to remove the submissions [ids].
     *
     * The ledger changes only when the deletions are read back, see [onKeyDeleted], so that it changes at the same
     * offset at all nodes. The keys include those of all rejected proposals. A node that later reads the log without
     * the submissions that precede a rejected proposal would otherwise accept that proposal.
     */
    fun keysToRemove(ids: Collection<String>): List<String> =
        obsoleteKeys.toList() + ids.mapNotNull { submissionsById[it] }.flatMap { it.keys }

    /** Returns the keys to delete from the topic of contents before those that [keysToRemove] returns are deleted. */
    fun contentKeysToRemove(ids: Collection<String>): List<String> =
        obsoleteContentKeys.values.flatten() + ids.mapNotNull { submissionsById[it] }.flatMap { it.contentKeys }

    /**
     * Applies the deletion of [key] from the log.
     *
     * The deletion of the first key of a submission removes the submission, which is then returned.
     */
    fun onKeyDeleted(key: String): SubmissionState? {
        obsoleteKeys -= key
        PartKey.parse(key)?.let { obsoleteContentKeys.remove(it.id) }
        val removed = submissionsByFirstKey.remove(key)?.let { submissionsById.remove(it) } ?: return null
        obsoleteKeys += removed.keys.filter { it != key }
        obsoleteContentKeys += removed.contentKeys.groupBy { it.substringBefore(':') } - key.substringBefore(':')
        val open = removed.items.filter { !it.hasResult && !removed.isEnded }.sumOf { it.proposed.tokens }
        releaseTokens(removed, open)
        return removed
    }

    private fun propose(record: SubmissionRecord.Proposed, content: RecordContent, keys: List<String>): LedgerEffect {
        val existing = submissionsById[record.submission]
        if (existing != null) {
            existing.add(keys, content)
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
            obsoleteKeys += keys
            content.separateKeys().takeIf { it.isNotEmpty() }
                ?.let { obsoleteContentKeys[keys.first().substringBefore(':')] = it }
            return LedgerEffect.Rejected
        }
        val state = SubmissionState(record, content)
        state.add(keys, content)
        submissionsById[record.submission] = state
        submissionsByFirstKey[keys.first()] = record.submission
        waitingTokens.merge(record.organisation to record.route, tokens, Long::plus)
        return LedgerEffect.Accepted(state)
    }

    private fun addResult(record: SubmissionRecord.Result, content: RecordContent, keys: List<String>): LedgerEffect {
        val state = submissionsById[record.submission] ?: return LedgerEffect.Unknown
        state.add(keys, content)
        val item = state.item(record.item) ?: return LedgerEffect.Unknown
        if (item.hasResult) return LedgerEffect.Duplicate
        if (!state.isEnded) releaseTokens(state, item.proposed.tokens)
        state.addResult(item, record.isComplete, content)
        return LedgerEffect.ResultAdded(state)
    }

    private fun saveProgress(
        record: SubmissionRecord.Progress,
        content: RecordContent,
        keys: List<String>,
    ): LedgerEffect {
        val state = submissionsById[record.submission] ?: return LedgerEffect.Unknown
        state.add(keys, content)
        val item = state.item(record.item) ?: return LedgerEffect.Unknown
        val progress = ItemProgress(record.lastEvent, record.origin, content)
        if (item.hasResult || item.progress?.isReplacedBy(progress) == false) return LedgerEffect.Duplicate
        item.progress = progress
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

    private fun SubmissionState.add(keys: List<String>, content: RecordContent) {
        this.keys += keys
        contentKeys += content.separateKeys()
    }

    private fun RecordContent.separateKeys(): List<String> = parts.filter { it.isSeparate }.map { it.key }

    private fun releaseTokens(state: SubmissionState, tokens: Long) {
        val account = state.proposal.organisation to state.proposal.route
        waitingTokens.merge(account, -tokens, Long::plus)
    }
}
