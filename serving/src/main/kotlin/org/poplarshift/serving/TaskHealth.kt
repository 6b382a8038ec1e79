package org.poplarshift.serving

/**
 * The failures of one long-running task.
 *
 * A task fails again and again when it has failed [FAILURE_LIMIT] times without a run of at least [SOUND_MILLIS] in
 * between. It no longer does once it has run for [SOUND_MILLIS].
 *
 * @property duties what the node can't do without the task
 */
class TaskHealth(val name: String, val duties: Set<NodeDuty>) {
    private var startMillis = 0L
    private var failuresInRow = 0

    /** Whether the task is running, not waiting for its next start. */
    var isRunning = false
        private set

    /** Number of all failures. */
    var failures = 0
        private set

    /** The cause of the latest failure. */
    var lastFailure: Throwable? = null
        private set

    /** Records that the task is started. */
    fun onStarted(nowMillis: Long) {
        startMillis = nowMillis
        isRunning = true
    }

    /** Records that the task has failed because of [cause]. */
    fun onFailed(nowMillis: Long, cause: Throwable) {
        if (isSound(nowMillis)) failuresInRow = 0
        failuresInRow++
        failures++
        lastFailure = cause
        isRunning = false
    }

    /** Whether the task is running and has done so for a while. */
    fun isSound(nowMillis: Long): Boolean = isRunning && nowMillis - startMillis >= SOUND_MILLIS

    /** Whether the task fails again and again. */
    fun isFailing(nowMillis: Long): Boolean = failuresInRow >= FAILURE_LIMIT && !isSound(nowMillis)

    companion object {
        /** A task that fails at once has failed for 1.5 s by then. One odd record or response causes fewer failures. */
        const val FAILURE_LIMIT = 5

        /** Several times the longest delay before a start. A failure that comes more rarely is passing. */
        const val SOUND_MILLIS = 10_000L
    }
}
