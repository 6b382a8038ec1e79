package org.poplarshift.serving.observe

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.poplarshift.serving.TaskState

/** What a node reports about itself. */
@Serializable
data class NodeStatus(val node: String, @SerialName("ready") val isReady: Boolean, val tasks: List<TaskState>) {
    /** Returns the status as JSON. */
    fun encode(): String = Json.encodeToString(serializer(), this)
}
