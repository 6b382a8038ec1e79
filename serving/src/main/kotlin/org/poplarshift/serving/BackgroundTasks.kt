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
    private val longRunning = ArrayList<TaskHealth>()

    /** The states of the long-running tasks that have not returned. */
    val states: List<TaskState>
        get() = longRunning.map { TaskState.of(it, clock.millis()) }

    /** What the node can't do at present, because a task that it needs for it fails again and again. */
    val suspendedDuties: Set<NodeDuty>
        get() = longRunning.filter { it.isFailing(clock.millis()) }.flatMap { it.duties }.toSet()

    /**
     * Runs [task] until it returns or is cancelled. After a failure it is started again with a growing delay.
     *
     * @param duties what the node can't do without the task
     */
    fun launch(name: String, duties: Set<NodeDuty> = emptySet(), task: suspend () -> Unit): Job {
        val health = TaskHealth(name, duties)
        longRunning += health
        return scope.launch { runRepeatedly(health, task) }.also { job ->
            job.invokeOnCompletion { longRunning -= health }
        }
    }

    private suspend fun runRepeatedly(health: TaskHealth, task: suspend () -> Unit) {
        val backoff = Backoff(INITIAL_DELAY_MILLIS, MAXIMUM_DELAY_MILLIS)
        while (true) {
            health.onStarted(clock.millis())
            val failure = failureOf(task) ?: return
            val wasFailing = health.isFailing(clock.millis())
            if (health.isSound(clock.millis())) backoff.reset()
            health.onFailed(clock.millis(), failure)
            val delayMillis = backoff.next()
            onFailure(health.name)
            logger.error(failure) { "node: the task ${health.name} failed and starts again in $delayMillis ms" }
            if (!wasFailing && health.isFailing(clock.millis())) {
                logger.error { "node: the task ${health.name} fails again and again, suspended: ${health.duties}" }
            }
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
    }
}
