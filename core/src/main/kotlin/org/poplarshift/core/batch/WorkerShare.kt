package org.poplarshift.core.batch

/**
 * The batch streams on one worker, at the holder of the worker's slot. Batch gets what online requests and the headroom
 * leave; when that shrinks, the newest streams are the excess, since they have done the least work.
 *
 * @param Run identifies a stream
 */
class WorkerShare<Run>(val worker: String, private var capacity: Int, private var headroom: Int) {
    private val streams = LinkedHashMap<Run, Boolean>()
    private val onlineByNode = HashMap<String, Int>()
    private var reportedOnline = 0

    /** The number of batch streams that may run now. */
    val limit: Int
        get() = (capacity - headroom - maxOf(onlineByNode.values.sum(), reportedOnline)).coerceAtLeast(0)

    val running: Int
        get() = streams.size

    val room: Int
        get() = (limit - running).coerceAtLeast(0)

    /** Takes over the limits of the catalogue. */
    fun configure(capacity: Int, headroom: Int) {
        this.capacity = capacity
        this.headroom = headroom
    }

    /** Sets how many online requests [node] runs on the worker. */
    fun reportOnline(node: String, requests: Int) {
        if (requests > 0) onlineByNode[node] = requests else onlineByNode.remove(node)
    }

    /** Drops the demand of nodes that have ended. */
    fun keepNodes(nodes: Set<String>) {
        onlineByNode.keys.retainAll(nodes)
    }

    /**
     * Sets how many requests the worker's load report shows, of which [batch] are this share's own. The report lags, so
     * that it only adds to what the nodes say.
     */
    fun reportLoad(requests: Int, batch: Int) {
        reportedOnline = (requests - batch).coerceAtLeast(0)
    }

    /** Starts [run] when there is room. A stream that is not [cancellable] never yields. */
    fun start(run: Run, cancellable: Boolean): Boolean {
        if (room == 0) return false
        streams[run] = cancellable
        return true
    }

    fun end(run: Run) {
        streams.remove(run)
    }

    /** The newest streams that must yield now; they count as running until [end] is called. */
    fun excess(): List<Run> {
        val surplus = running - limit
        if (surplus <= 0) return emptyList()
        return streams.entries.filter { it.value }.takeLast(surplus).reversed().map { it.key }
    }
}
