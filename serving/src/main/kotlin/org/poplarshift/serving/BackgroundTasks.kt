package org.poplarshift.serving

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import kotlin.coroutines.coroutineContext

/**
 * The long-running tasks of a node.
 *
 * A task that fails is started again. Without it the node would stay ready although a part of it has stopped.
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
        var delayMillis = INITIAL_DELAY_MILLIS
        while (true) {
            val startMillis = clock.millis()
            val failure = run(task) ?: return@launch
            if (clock.millis() - startMillis > STABLE_MILLIS) delayMillis = INITIAL_DELAY_MILLIS
            onFailure(name)
            logger.error(failure) { "node: the task $name failed and starts again in $delayMillis ms" }
            delay(delayMillis)
            delayMillis = minOf(delayMillis * 2, MAXIMUM_DELAY_MILLIS)
        }
    }

    /** Returns the failure of [task], or null when it has returned. */
    private suspend fun run(task: suspend () -> Unit): Throwable? = try {
        task()
        null
    } catch (exception: CancellationException) {
        coroutineContext.ensureActive()
        // Only something within the task was cancelled.
        exception
    } catch (exception: Exception) {
        exception
    } catch (error: VirtualMachineError) {
        error
    }

    private companion object {
        val logger = KotlinLogging.logger {}
        const val INITIAL_DELAY_MILLIS = 100L
        const val MAXIMUM_DELAY_MILLIS = 2_000L

        // A task that has run for this time is taken as sound.
        const val STABLE_MILLIS = 10_000L
    }
}
