package org.poplarshift.serving.peer

import io.github.oshai.kotlinlogging.KotlinLogging
import org.poplarshift.serving.MonotonicClock

/**
 * Whether this node itself reaches the log, or the workers. Its calls go through other nodes while it does not.
 *
 * @param remote what is reached, as log lines name it
 * @param onChange called with the new value when [isUsable] has changed
 */
class DirectPath(
    private val clock: MonotonicClock,
    private val remote: String,
    private val onChange: (Boolean) -> Unit = {},
) {
    /** Time of the latest direct call that has succeeded, in monotonic milliseconds. */
    var succeededMillis = Long.MIN_VALUE / 2
        private set
    private var bypassUntilMillis = Long.MIN_VALUE

    /** Whether the latest direct call gives no reason to go through other nodes. */
    var isUsable = true
        private set

    /** Whether the path has failed so recently that it is not worth another trial. */
    val isBypassed: Boolean
        get() = clock.millis() < bypassUntilMillis

    /** Whether a direct call has succeeded within the last [millis]. */
    fun hasSucceededWithin(millis: Long): Boolean = clock.millis() - succeededMillis <= millis

    /** Records that a direct call has succeeded. */
    fun onSuccess() {
        succeededMillis = clock.millis()
        bypassUntilMillis = Long.MIN_VALUE
        update(isUsable = true)
    }

    /** Records that direct calls fail. */
    fun onFailure() {
        bypassUntilMillis = clock.millis() + BYPASS_MILLIS
        update(isUsable = false)
    }

    private fun update(isUsable: Boolean) {
        if (isUsable == this.isUsable) return
        this.isUsable = isUsable
        logger.info { "path: this node ${if (isUsable) "reaches $remote again" else "does not reach $remote"}" }
        onChange(isUsable)
    }

    private companion object {
        val logger = KotlinLogging.logger {}

        // Time for which calls go through other nodes before a direct call is tried again. A failing direct call may
        // take a second.
        const val BYPASS_MILLIS = 1_000L
    }
}
