package org.poplarshift.core.batch

/**
 * The batch streams that the holder of a worker's slot runs on the worker, and the online requests that other nodes
 * report for it. When online requests need capacity, the newest streams yield, because they have done the least work.
 *
 * @param Run identifies a stream
 */
class WorkerBatchStreams<Run> {
    private val streams = LinkedHashMap<Run, Boolean>()
    private val onlineByNode = HashMap<String, Int>()

    val running: Int
        get() = streams.size

    /** The total number of online requests that other nodes run on the worker. */
    val peerOnline: Int
        get() = onlineByNode.values.sum()

    /** Adds a stream. A stream that is not [cancellable] never yields. */
    fun start(run: Run, cancellable: Boolean) {
        streams[run] = cancellable
    }

    fun end(run: Run) {
        streams.remove(run)
    }

    /** Returns up to [count] cancellable streams, newest first. They count as running until [end] is called. */
    fun newestCancellable(count: Int): List<Run> =
        if (count <= 0) emptyList() else streams.entries.filter { it.value }.takeLast(count).reversed().map { it.key }

    /** Sets the number of online requests that [node] runs on the worker. */
    fun setPeerOnline(node: String, requests: Int) {
        if (requests > 0) onlineByNode[node] = requests else onlineByNode.remove(node)
    }

    /** Removes the online requests of all nodes that are not in [nodes]. */
    fun retainNodes(nodes: Set<String>) {
        onlineByNode.keys.retainAll(nodes)
    }
}
