package org.poplarshift.core.submission

/**
 * Divides the items of all submissions into shares, which are distributed over the nodes.
 *
 * The items of one submission are in different shares, so that many nodes run them.
 */
object ItemShares {
    /** Number of shares. Nodes beyond this number run no items. */
    const val COUNT = 128

    /** Returns the share of [item] in [submission]. */
    fun shareOf(submission: String, item: String): Int = Math.floorMod("$submission/$item".hashCode(), COUNT)
}
