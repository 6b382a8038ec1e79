package org.poplarshift.core.batch

/**
 * The batch streams on one worker at the holder of the worker's slot, and what other nodes say that they run there.
 * When online requests need room, the newest streams yield, since they have done the least work.
 *
 * @param Run identifies a stream
 */
class WorkerBatchStreams<Run> {
    private val streams = LinkedHashMap<Run, Boolean>()
    private val onlineByNode = HashMap<String, Int>()

    val running: Int
        get() = streams.size

    /** The online requests that all other nodes together run on the worker. */
    val peerOnline: Int
        get() = onlineByNode.values.sum()

    /** Adds a stream. One that is not [cancellable] never yields. */
    fun start(run: Run, cancellable: Boolean) {
        streams[run] = cancellable
    }

    fun end(run: Run) {
        streams.remove(run)
    }

    /** The [count] newest streams that may yield, the newest first; they count as running until [end] is called. */
    fun newestCancellable(count: Int): List<Run> =
        if (count <= 0) emptyList() else streams.entries.filter { it.value }.takeLast(count).reversed().map { it.key }

    /** Sets how many online requests [node] runs on the worker. */
    fun setPeerOnline(node: String, requests: Int) {
        if (requests > 0) onlineByNode[node] = requests else onlineByNode.remove(node)
    }

    /** Drops the demand of nodes that have ended. */
    fun keepNodes(nodes: Set<String>) {
        onlineByNode.keys.retainAll(nodes)
    }
}
