package org.poplarshift.verification.soak

/**
 * The times at which nodes and the store were disturbed.
 *
 * Promises with a time bound hold only for nodes that have been undisturbed for a while, together with the store.
 * Times are monotonic milliseconds.
 */
class Disturbances {
    private val intervals = ArrayList<Interval>()

    /** Records that a disturbance of [subject] begins at [nowMillis]. Returns a function that ends it. */
    fun begin(subject: String, nowMillis: Long): (endMillis: Long) -> Unit {
        val interval = Interval(subject, nowMillis)
        intervals += interval
        return { interval.endMillis = it }
    }

    /** Whether [node] and the store were undisturbed from [STABLE_MILLIS] before [fromMillis] until [toMillis]. */
    fun isInTouch(node: String, fromMillis: Long, toMillis: Long): Boolean =
        isCalm(node, fromMillis, toMillis) && isCalm(STORE, fromMillis, toMillis)

    /** Whether [subject] was undisturbed from [STABLE_MILLIS] before [fromMillis] until [toMillis]. */
    fun isCalm(subject: String, fromMillis: Long, toMillis: Long): Boolean = intervals.none {
        it.subject == subject && it.beginMillis <= toMillis && it.endMillis >= fromMillis - STABLE_MILLIS
    }

    private class Interval(val subject: String, val beginMillis: Long, var endMillis: Long = Long.MAX_VALUE)

    companion object {
        /** Subject of disturbances of the store, towards any node. */
        const val STORE = "store"

        private const val STABLE_MILLIS = 3_000L
    }
}
