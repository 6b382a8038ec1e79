package org.poplarshift.core.submission

/**
 * Decides how long an interrupted item waits for a worker of the software version that has written its output.
 *
 * A run that begins anew repeats the work of the earlier run. It is therefore worth a short wait for workers that can't
 * be reached for a moment, and a long one for workers that are full. Times are monotonic milliseconds.
 */
class OriginWait {
    private var failingSinceMillis: Long? = null
    private var isFull = false

    /** Records that no worker of the version was available, or that one has failed. */
    fun onFailed(nowMillis: Long) {
        failingSinceMillis = failingSinceMillis ?: nowMillis
    }

    /** Records that the workers of the version had no free slot. */
    fun onFull() {
        failingSinceMillis = null
        isFull = true
    }

    /** Records that the output has grown. */
    fun onContinued() {
        failingSinceMillis = null
        isFull = false
    }

    /** Whether workers of other versions may get the item. [untilDueMillis] is the time until its result is due. */
    fun isOver(nowMillis: Long, untilDueMillis: Long): Boolean {
        val isFailing = failingSinceMillis?.let { nowMillis - it >= MAXIMUM_FAILING_MILLIS } ?: false
        return isFailing || (isFull && untilDueMillis <= WHOLE_RUN_MILLIS)
    }

    companion object {
        /** About the run time of an item of typical size on a busy worker. */
        const val WHOLE_RUN_MILLIS = 6_500L

        // Workers that were reset or cut off from the network are probed at least once a second.
        private const val MAXIMUM_FAILING_MILLIS = 2_000L
    }
}
