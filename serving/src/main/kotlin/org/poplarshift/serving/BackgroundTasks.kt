package org.poplarshift.serving

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.Job
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import kotlin.coroutines.coroutineContext

/**
 * The owner of all tasks of a node.
 *
 * A long-running task that fails is started again. Without it the node would stay ready although a part of it has
 * stopped. A short-lived task that fails ends, and whoever waits for it gets the cause. Every failure is logged with the
 * name of the task and counted.
 *
 * @param onFailure called with the name of the task after each failure
 */
class BackgroundTasks(
    private val scope: CoroutineScope,
    private val clock: MonotonicClock,
    private val onFailure: (String) -> Unit,
) {
    /** Runs [task] until it returns or is cancelled. After a failure it is started again with a growing delay. */
    fun launch(name: String, task: suspend () -> Unit): Job = scope.launch {
        val backoff = Backoff(INITIAL_DELAY_MILLIS, MAXIMUM_DELAY_MILLIS)
        while (true) {
            val startMillis = clock.millis()
            val failure = failureOf(task) ?: return@launch
            if (clock.millis() - startMillis > STABLE_MILLIS) backoff.reset()
            val delayMillis = backoff.next()
            onFailure(name)
            logger.error(failure) { "node: the task $name failed and starts again in $delayMillis ms" }
            delay(delayMillis)
        }
    }

    /**
     * Runs the short-lived [task] once.
     *
     * @param onFailed called with the cause after a failure, to free what the task has held
     */
    fun launchOnce(
        name: String,
        start: CoroutineStart = CoroutineStart.DEFAULT,
        onFailed: (Throwable) -> Unit = {},
        task: suspend () -> Unit,
    ): Deferred<TaskResult> = scope.async(start = start) {
        val failure = failureOf(task) ?: return@async TaskResult.Completed
        report(name, failure)
        failureOf { onFailed(failure) }?.let { report(name, it) }
        TaskResult.Failed(failure)
    }

    private fun report(name: String, failure: Throwable) {
        onFailure(name)
        logger.error(failure) { "node: the task $name failed" }
    }

    /** Returns the failure of [task], or null when it has returned. */
    private suspend fun failureOf(task: suspend () -> Unit): Throwable? = try {
        task()
        null
    } catch (exception: CancellationException) {
        coroutineContext.ensureActive()
        // Only something within the task was cancelled.
        exception
    } catch (failure: Throwable) {
        failure
    }

    private companion object {
        val logger = KotlinLogging.logger {}
        const val INITIAL_DELAY_MILLIS = 100L
        const val MAXIMUM_DELAY_MILLIS = 2_000L

        // A task that has run for this time is taken as sound.
        const val STABLE_MILLIS = 10_000L
    }
}
