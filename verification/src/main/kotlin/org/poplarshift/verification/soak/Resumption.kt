package org.poplarshift.verification.soak

import java.util.Locale

/**
 * What became of the streams that callers have taken up.
 *
 * @property takenUp number of streams that callers have taken up
 * @property resumed number of these that went on
 * @property comparable number of those that were taken up at undisturbed nodes while several workers of their version served
 * @property resumedShare share of the comparable ones that went on
 * @property begunShare share of the new streams at undisturbed nodes that began
 */
data class Resumption(
    val takenUp: Int,
    val resumed: Int,
    val comparable: Int,
    val resumedShare: Double,
    val begunShare: Double,
) {
    /** Whether the share of streams that went on is under half of that of new streams that began. */
    val isTooRare: Boolean
        get() = comparable >= MINIMUM_COMPARABLE && resumedShare < begunShare / 2

    override fun toString() = "$takenUp streams taken up, $resumed went on; of $comparable at undisturbed nodes " +
        "%.2f went on, %.2f of the new streams began".format(Locale.ROOT, resumedShare, begunShare)

    private companion object {
        const val MINIMUM_COMPARABLE = 12
    }
}
