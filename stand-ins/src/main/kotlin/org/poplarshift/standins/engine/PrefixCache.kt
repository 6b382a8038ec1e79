package org.poplarshift.standins.engine

/**
 * Cache of prompt prefixes in blocks of 64 characters. The hash of a block covers the whole prefix, so that a block
 * matches only if all blocks before it match. The least recently used blocks are evicted first.
 */
internal class PrefixCache(private val maximumBlocks: Int, private val events: CacheEvents) {
    private val blocks = LinkedHashMap<Int, Unit>(16, 0.75f, true)

    /** Stores the blocks of [prompt] and returns the fraction of the prompt, 0 to 1, that was not cached. */
    fun storeAndGetMissRatio(prompt: String): Double {
        val hashes = prefixHashes(prompt)
        if (hashes.isEmpty()) return 1.0
        val hits = hashes.takeWhile { it in blocks }.size
        hashes.forEach(::store)
        val cachedCharacters = hits * BLOCK_CHARACTERS
        return 1.0 - cachedCharacters.toDouble() / prompt.length
    }

    /** Removes all blocks, as a restart does, without publishing events. */
    fun clear() = blocks.clear()

    private fun prefixHashes(prompt: String): List<Int> {
        var hash = 1
        return (0 until prompt.length / BLOCK_CHARACTERS).map { index ->
            val block = prompt.substring(index * BLOCK_CHARACTERS, (index + 1) * BLOCK_CHARACTERS)
            hash = 31 * hash + block.hashCode()
            hash
        }
    }

    private fun store(hash: Int) {
        val isNew = blocks.put(hash, Unit) == null
        if (!isNew) return
        events.publish(CacheEventKind.STORED, hash)
        if (blocks.size > maximumBlocks) {
            val eldest = blocks.keys.first()
            blocks.remove(eldest)
            events.publish(CacheEventKind.EVICTED, eldest)
        }
    }

    private companion object {
        const val BLOCK_CHARACTERS = 64
    }
}
