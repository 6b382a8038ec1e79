package org.poplarshift.core.batch

/** The queued items of one job at the holder of the job's slot, with their attempt counts. */
internal class JobQueue(var job: JobState, private val waiting: ItemSet) {
    private val attempts = HashMap<Int, Int>()
    private var cursor = 0

    /** Returns the next queued item, or -1. Requeued items follow the items with higher indexes. */
    fun peek(): Int {
        val next = waiting.next(cursor)
        if (next >= 0 || cursor == 0) return next
        cursor = 0
        return waiting.next()
    }

    /** Removes [item] from the queue to run it and returns the number of this attempt. */
    fun take(item: Int): Int {
        waiting.remove(item)
        cursor = item + 1
        return (attempts[item] ?: 0) + 1
    }

    /** Queues [item] again. [countsAttempt] is false if the item certainly did not run or its run yielded. */
    fun requeue(item: Int, attempt: Int, countsAttempt: Boolean) {
        if (job.hasEnded(item)) return
        waiting.add(item)
        if (countsAttempt) attempts[item] = attempt
    }

    /** Removes [item], which has ended. */
    fun remove(item: Int) {
        waiting.remove(item)
        attempts.remove(item)
    }
}
