package org.poplarshift.serving

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * The state of a long-running task, as the node reports it.
 *
 * @property isFailing whether the task fails again and again, so that the node does without what needs it
 */
@Serializable
data class TaskState(
    val name: String,
    @SerialName("running") val isRunning: Boolean,
    @SerialName("failing") val isFailing: Boolean,
    val failures: Int,
    @SerialName("last_failure") val lastFailure: String?,
) {
    companion object {
        /** Returns the state of the task with [health]. */
        fun of(health: TaskHealth, nowMillis: Long): TaskState = TaskState(
            health.name,
            health.isRunning,
            health.isFailing(nowMillis),
            health.failures,
            health.lastFailure?.toString(),
        )
    }
}
