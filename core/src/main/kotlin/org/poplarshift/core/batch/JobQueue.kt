package org.poplarshift.core.batch

/** The items of one job that wait at the holder of the job's slot, with their attempts. */
internal class JobQueue(var job: JobState, private val waiting: ItemSet) {
    private val attempts = HashMap<Int, Int>()
    private var cursor = 0

    /** The next item that waits, or -1. Items that came back are taken after the items behind them. */
    fun peek(): Int {
        val next = waiting.next(cursor)
        if (next >= 0 || cursor == 0) return next
        cursor = 0
        return waiting.next()
    }

    /** Takes [item] and returns the number of this attempt. */
    fun take(item: Int): Int {
        waiting.remove(item)
        cursor = item + 1
        return (attempts[item] ?: 0) + 1
    }

    /** Puts [item] back. [countsAttempt] is false when the item certainly did not run or had to yield. */
    fun requeue(item: Int, attempt: Int, countsAttempt: Boolean) {
        if (job.hasEnded(item)) return
        waiting.add(item)
        if (countsAttempt) attempts[item] = attempt
    }

    /** Forgets [item], which has ended. */
    fun remove(item: Int) {
        waiting.remove(item)
        attempts.remove(item)
    }
}
