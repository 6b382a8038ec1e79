package org.poplarshift.serving.memory

/** What bytes of a node are held for. */
enum class MemoryUse {
    /** The body of a request that is being received or served. */
    REQUEST_BODY,

    /** Bytes of a client's connection that are not decoded or not sent yet. */
    CONNECTION,

    /** The response of a worker. */
    WORKER_RESPONSE,
}

/** Somebody for whom bytes are held. Each has at most a share of the account. */
data class MemoryOwner(val kind: Kind, val name: String) {
    /** Kinds of owners, with their shares of the account. */
    enum class Kind(val share: Double) {
        ORGANISATION(share = 0.5),

        // Loose, because many callers share the address of a proxy.
        ADDRESS(share = 0.75),
    }
}

/**
 * Bounds the bytes that a node holds for clients and workers.
 *
 * When the bound is exceeded, the holding with the greatest product of bytes and age is given up, so that those that are
 * small or end soon are not affected. Holdings that can't be given up count, but stay.
 *
 * @param limitBytes maximum number of bytes of all holdings together
 * @param onEvicted called when a holding is given up
 */
class MemoryAccount(
    val limitBytes: Long,
    private val nowMillis: () -> Long,
    private val onEvicted: (MemoryUse) -> Unit = {},
) {
    /** The bytes of one body, connection or response. */
    inner class Holding internal constructor(
        private val use: MemoryUse,
        internal val owners: List<MemoryOwner>,
        private val onEviction: () -> Unit,
    ) {
        private var startMillis = nowMillis()

        /** Number of bytes that are held. */
        var bytes = 0L
            private set

        /** Whether the holding may be given up. */
        var isEvictable = true

        /** Whether the holding has been given up. */
        var isEvicted = false
            private set

        internal val weight: Long
            get() = bytes * (nowMillis() - startMillis + 1)

        /** Records that [bytes] bytes are held. Returns whether they may be held. */
        fun resize(bytes: Long): Boolean {
            if (isEvicted) return false
            update(bytes)
            if (bytes > 0) enforceLimits(this)
            return !isEvicted
        }

        /** Records that the bytes are held from now on. */
        fun restart() {
            startMillis = nowMillis()
        }

        /** Records that nothing is held any more. */
        fun free() {
            if (!isEvicted) update(0)
        }

        internal fun evict() {
            update(0)
            isEvicted = true
            onEvicted(use)
            onEviction()
        }

        private fun update(bytes: Long) {
            val change = bytes - this.bytes
            this.bytes = bytes
            usedBytes += change
            owners.forEach { owner -> bytesOfOwners.merge(owner, change) { a, b -> (a + b).takeIf { it != 0L } } }
            if (bytes > 0) holdings += this else holdings -= this
        }
    }

    private val holdings = LinkedHashSet<Holding>()
    private val bytesOfOwners = HashMap<MemoryOwner, Long>()

    /** Number of bytes that are held. */
    var usedBytes = 0L
        private set

    /** Returns a holding without bytes. [onEviction] is called when it is given up. */
    fun hold(use: MemoryUse, owners: List<MemoryOwner> = emptyList(), onEviction: () -> Unit): Holding =
        Holding(use, owners, onEviction)

    private fun enforceLimits(changed: Holding) {
        for (owner in changed.owners) {
            val limit = (limitBytes * owner.kind.share).toLong()
            while ((bytesOfOwners[owner] ?: 0) > limit) {
                (heaviest { owner in it.owners } ?: break).evict()
            }
        }
        while (usedBytes > limitBytes) (heaviest { true } ?: break).evict()
    }

    private fun heaviest(isEligible: (Holding) -> Boolean): Holding? =
        holdings.filter { it.isEvictable && isEligible(it) }.maxByOrNull { it.weight }

    companion object {
        // The rest of the heap is for the configuration, the registry, submissions, their cache and young objects. A heap
        // that is used completely would not fit the smallest VM together with the 75 MB that the JVM takes beside it.
        private const val HEAP_DIVISOR = 5

        /** Limit that follows from the heap of this process. */
        fun limitOfHeap(): Long = Runtime.getRuntime().maxMemory() / HEAP_DIVISOR
    }
}
