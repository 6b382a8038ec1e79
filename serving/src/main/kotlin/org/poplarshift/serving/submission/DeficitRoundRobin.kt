package org.poplarshift.serving.submission

/**
 * Shares places between queues by deficit round robin.
 *
 * Each round adds one place to the deficit of every queue; a place that is taken reduces the deficit by one, and a place
 * that is given back restores it. The next place goes to the queue with the largest deficit, which is the one that holds
 * the fewest places, and among equal ones to the queue whose turn was the longest ago.
 *
 * Places are counted while they are held, not when they are taken: if only starts were counted, a queue with long runs
 * would hold most of the places.
 */
class DeficitRoundRobin<K> {
    private class Queue(var lastTurn: Long) {
        var places = 0
    }

    private val queues = HashMap<K, Queue>()
    private var turns = 0L

    /** Adds those of [waiting] that are new behind all others and forgets those that neither wait nor hold a place. */
    fun update(waiting: Collection<K>) {
        val known = waiting.toSet()
        queues.entries.removeIf { (key, queue) -> key !in known && queue.places == 0 }
        waiting.forEach { find(it) }
    }

    /** Returns the one of [candidates] that takes the next place, or null if there are none. */
    fun next(candidates: Collection<K>): K? =
        candidates.minWithOrNull(compareBy({ find(it).places }, { find(it).lastTurn }))

    /** Records that [key] takes a place. */
    fun onTaken(key: K) {
        val queue = find(key)
        queue.places++
        queue.lastTurn = ++turns
    }

    /** Records that [key] gives a place back. */
    fun onReturned(key: K) {
        val queue = find(key)
        check(queue.places > 0) { "$key holds no place that it could give back" }
        queue.places--
    }

    private fun find(key: K): Queue = queues.getOrPut(key) { Queue(++turns) }
}
