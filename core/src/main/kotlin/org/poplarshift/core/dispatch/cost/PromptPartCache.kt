package org.poplarshift.core.dispatch.cost

/**
 * The prompt parts that a worker probably has cached: those of its latest requests.
 *
 * What the worker has evicted is not known, so the bounds are lower than its memory.
 */
internal class PromptPartCache {
    private val tokensByPart = LinkedHashMap<Long, Int>(16, 0.75f, true)
    private var tokens = 0L

    /** Returns the tokens of the prompt of [cost] that need not be read again. */
    fun cachedTokens(cost: RequestCost): Int {
        var cached = 0
        for (index in cost.sharedParts.indices) {
            // Does not count as a use of the part.
            if (!tokensByPart.containsKey(cost.sharedParts[index])) break
            cached += cost.sharedTokens[index]
        }
        return minOf(cached, cost.promptTokens)
    }

    /** Records that the worker reads the prompt of [cost]. */
    fun onRead(cost: RequestCost) {
        // From the last to the first: a part is of no use without those before it, so they must not be evicted earlier.
        for (index in cost.sharedParts.indices.reversed()) {
            val previous = tokensByPart.put(cost.sharedParts[index], cost.sharedTokens[index]) ?: 0
            tokens += cost.sharedTokens[index] - previous
        }
        val eldest = tokensByPart.entries.iterator()
        while (eldest.hasNext() && (tokensByPart.size > MAXIMUM_PARTS || tokens > MAXIMUM_TOKENS)) {
            tokens -= eldest.next().value
            eldest.remove()
        }
    }

    private companion object {
        // Bounds memory to about 20 KB for each worker.
        const val MAXIMUM_PARTS = 256

        // Half of the memory of an engine of the platform; the rest holds what its running requests need.
        const val MAXIMUM_TOKENS = 73_000L
    }
}
