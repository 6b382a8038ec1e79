package org.poplarshift.core.dispatch

/** Ranks nodes for a key. All nodes compute the same rank, and the ranks for different keys are unrelated. */
object RendezvousHash {
    /** Returns the rank of [node] for [key]; the node with the lowest rank comes first. */
    fun of(node: String, key: String): Int {
        // Names that differ in one character must have unrelated hashes, which String.hashCode does not provide.
        var hash = "$node/$key".hashCode()
        hash = (hash xor (hash ushr 16)) * -0x7a143595
        hash = (hash xor (hash ushr 13)) * -0x3d4d51cb
        return hash xor (hash ushr 16)
    }
}
