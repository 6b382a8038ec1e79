package org.poplarshift.serving.forward

/**
 * Remembers the ids of the requests that were sent on one connection.
 *
 * Hash codes take four bytes for each id. Two ids with the same one cost a new connection and nothing else.
 *
 * @param limit number of ids after which no more are remembered and the connection must not be used any more
 */
internal class SentRequestIds(private val limit: Int) {
    private var hashCodes = IntArray(INITIAL_CAPACITY)

    /** Number of remembered ids. */
    var size = 0
        private set

    /** Whether another id can be remembered. */
    val isFull: Boolean
        get() = size >= limit

    /** Remembers [id]. */
    fun add(id: String) {
        if (size == hashCodes.size) hashCodes = hashCodes.copyOf(2 * size)
        hashCodes[size++] = id.hashCode()
    }

    /** Whether [id] may have been sent. False only if it was not. */
    fun mayContain(id: String): Boolean {
        val hashCode = id.hashCode()
        return (0 until size).any { hashCodes[it] == hashCode }
    }

    private companion object {
        // Connections carried four requests on average on a calm day.
        const val INITIAL_CAPACITY = 8
    }
}
