package org.poplarshift.serving

/** How a short-lived task has ended. */
sealed interface TaskResult {
    /** The task has returned. */
    data object Completed : TaskResult

    /** The task has thrown [cause], which is logged and counted already. */
    data class Failed(val cause: Throwable) : TaskResult
}
