package org.poplarshift.serving.forward

import org.poplarshift.serving.memory.MemoryAccount
import org.poplarshift.serving.memory.MemoryUse

/**
 * Bounds the memory that the responses of all workers use while they are incomplete.
 *
 * A worker may send bytes without end. When the bound is exceeded, the response that uses the most memory is given up, so
 * that the others are not affected.
 *
 * @param limitBytes maximum number of bytes of all responses together
 * @param account the account of the node that the responses are part of, or null
 */
class ResponseMemory(private val limitBytes: Long, private val account: MemoryAccount? = null) {
    /** The memory of one response. */
    inner class Allocation internal constructor() {
        private var bytes = 0L
        private val holding = account?.hold(MemoryUse.WORKER_RESPONSE) { revoke() }

        /** Whether the response may still be received. */
        var isGranted = true
            private set

        /** Records that the response uses [bytes] bytes. Returns whether it may still be received. */
        fun resize(bytes: Long): Boolean {
            if (!isGranted) return false
            usedBytes += bytes - this.bytes
            this.bytes = bytes
            while (usedBytes > limitBytes) allocations.maxBy { it.bytes }.revoke()
            if (isGranted) holding?.resize(bytes)
            return isGranted
        }

        /** Frees the memory. */
        fun free() {
            if (!isGranted) return
            usedBytes -= bytes
            bytes = 0
            holding?.free()
            allocations -= this
        }

        private fun revoke() {
            free()
            isGranted = false
        }
    }

    private val allocations = LinkedHashSet<Allocation>()

    /** Number of bytes that are in use. */
    var usedBytes = 0L
        private set

    /** Returns an allocation without any memory. The caller must free it. */
    fun allocate(): Allocation = Allocation().also { allocations += it }
}
