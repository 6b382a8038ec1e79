package org.poplarshift.core.submission

/** An accepted submission as the log describes it. */
class SubmissionState(val proposal: SubmissionRecord.Proposed, content: ByteArray) {
    private val itemsById = LinkedHashMap<String, ItemState>()
    private val resultList = ArrayList<ItemResult>()

    /** Whether the caller has ended it. */
    var isEnded = false
        internal set

    /** Keys of all records that concern it, for their removal. */
    internal val keys = ArrayList<String>()

    init {
        var position = 0
        for (item in proposal.items) {
            val body = content.copyOfRange(position, position + item.bodyBytes)
            position += item.bodyBytes
            itemsById[item.id] = ItemState(item, body)
        }
    }

    /** Items in the caller's order. */
    val items: Collection<ItemState>
        get() = itemsById.values

    /** Results in the order of their positions. */
    val results: List<ItemResult>
        get() = resultList

    /** Whether every item has a result. */
    val isComplete: Boolean
        get() = resultList.size == itemsById.size

    /** The item [id], or null. */
    fun item(id: String): ItemState? = itemsById[id]

    internal fun addResult(item: ItemState, isComplete: Boolean, output: ByteArray) {
        item.hasResult = true
        item.progress = null
        resultList += ItemResult(item.proposed.id, isComplete, output)
    }
}

/** An item of an accepted submission. */
class ItemState(val proposed: ProposedItem, val body: ByteArray) {
    /** Whether it has a result. */
    var hasResult = false
        internal set

    /** Events of an earlier run that were kept, or null. */
    var progress: ItemProgress? = null
        internal set
}

/** Output of a run that stopped after event [lastEvent]. */
class ItemProgress(val lastEvent: Long, val output: ByteArray)

/** A listed result. */
class ItemResult(val item: String, val isComplete: Boolean, val output: ByteArray)
