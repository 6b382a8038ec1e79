package org.poplarshift.serving.log

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import org.poplarshift.serving.BackgroundTasks
import org.poplarshift.serving.MonotonicClock

/**
 * Waits until the records that are in a partition have been delivered.
 *
 * At most one read is under way. Calls that arrive meanwhile share the next one, because only a read that is sent after
 * a call returns all records that precede the call.
 */
class SharedCatchUp(
    private val tasks: BackgroundTasks,
    private val clock: MonotonicClock,
    private val log: PartitionedLog,
    private val follower: TopicFollower,
) {
    private var next: CompletableDeferred<Boolean>? = null
    private var isReading = false
    private var changed = CompletableDeferred<Unit>()

    /** Called when [follower] has delivered the records up to the end of the partition. */
    fun onCaughtUp() {
        val previous = changed
        changed = CompletableDeferred()
        previous.complete(Unit)
    }

    /**
     * Returns whether all records that were in the log at the time of the call have been delivered.
     *
     * Returns false if the first pass is not complete or if the log does not answer within [TIMEOUT_MILLIS].
     */
    suspend fun await(): Boolean {
        if (!follower.isStarted) return false
        val result = next ?: CompletableDeferred<Boolean>().also { next = it }
        if (!isReading) startReading()
        return withTimeoutOrNull(TIMEOUT_MILLIS) { result.await() } == true
    }

    private fun startReading() {
        isReading = true
        tasks.launch("read of ${follower.topic}") {
            while (true) {
                val current = next ?: break
                next = null
                try {
                    current.complete(withTimeoutOrNull(READ_TIMEOUT_MILLIS) { readToEnd() } == true)
                } finally {
                    // Also after an exception.
                    current.complete(false)
                }
            }
            isReading = false
        }
    }

    private suspend fun readToEnd(): Boolean {
        val result = log.read(follower.topic, follower.partition, follower.position, waitMillis = 0)
        if (result !is ReadResult.Records) return false
        val restartMillis = clock.millis() + FIRST_DELIVERY_TIMEOUT_MILLIS
        while (follower.position < result.end) {
            follower.skipPause()
            val remainingMillis = restartMillis - clock.millis()
            if (remainingMillis > 0) {
                withTimeoutOrNull(remainingMillis) { changed.await() }
            } else {
                follower.restartRead()
                changed.await()
            }
        }
        return true
    }

    companion object {
        /** Maximum duration of [await], in milliseconds. */
        const val TIMEOUT_MILLIS = 400L

        // Many times the usual duration of a read, and short enough for a second one within a call.
        private const val READ_TIMEOUT_MILLIS = 200L

        // A waiting read that has not returned the records by then has missed them.
        private const val FIRST_DELIVERY_TIMEOUT_MILLIS = 50L
    }
}
