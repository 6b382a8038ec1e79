package org.poplarshift.core.submission

import org.poplarshift.core.stream.StreamOrigin

/** An accepted submission, as derived from the log. Bodies and outputs remain in the log. */
class SubmissionState(val proposal: SubmissionRecord.Proposed, content: RecordContent) {
    private val itemsById = LinkedHashMap<String, ItemState>()
    private val resultList = ArrayList<StoredResult>()

    /** Whether the caller has ended the submission. */
    var isEnded = false
        internal set

    /** Keys of all log records of the submission, needed to delete them. */
    internal val keys = ArrayList<String>()

    /** Keys of the contents of the submission that are in a topic of their own, needed to delete them. */
    internal val contentKeys = ArrayList<String>()

    init {
        var position = 0
        for (item in proposal.items) {
            val body = content.slice(position, item.bodyBytes)
            position += item.bodyBytes
            itemsById[item.id] = ItemState(item, body, ItemShares.shareOf(proposal.submission, item.id))
        }
    }

    /** Items in the caller's order. */
    val items: Collection<ItemState>
        get() = itemsById.values

    /** Results in the order of their positions. */
    val results: List<StoredResult>
        get() = resultList

    /** Whether every item has a result. */
    val isComplete: Boolean
        get() = resultList.size == itemsById.size

    /** Returns the item [id], or null. */
    fun item(id: String): ItemState? = itemsById[id]

    internal fun addResult(item: ItemState, isComplete: Boolean, output: RecordContent) {
        item.hasResult = true
        item.progress = null
        resultList += StoredResult(item.proposed.id, isComplete, output)
    }
}

/**
 * An item of an accepted submission.
 *
 * @property share the share of the work that the item belongs to, see [ItemShares]
 */
class ItemState(val proposed: ProposedItem, val body: RecordContent, val share: Int) {
    /** Whether the item has a result. */
    var hasResult = false
        internal set

    /** Saved progress of an earlier run, or null. */
    var progress: ItemProgress? = null
        internal set
}

/** Output of a run that stopped after event [lastEvent]. [origin] is null if it is not known where it was written. */
class ItemProgress(val lastEvent: Long, val origin: StreamOrigin?, val output: RecordContent) {
    /**
     * Whether [other], which was saved later, is to be kept instead.
     *
     * Only output of the same origin is compared. Otherwise a run has begun anew, because the origin had no worker.
     */
    fun isReplacedBy(other: ItemProgress): Boolean = when (other.origin) {
        origin -> other.lastEvent > lastEvent
        null -> false
        else -> true
    }
}

/** The result of an item, with the place of its output in the log. */
class StoredResult(val item: String, val isComplete: Boolean, val output: RecordContent)

/** The result of an item, with its output. */
class ItemResult(val item: String, val isComplete: Boolean, val output: ByteArray)
