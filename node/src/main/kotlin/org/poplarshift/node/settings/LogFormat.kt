package org.poplarshift.node.settings

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The form of log lines on standard error. */
@Serializable
enum class LogFormat {
    @SerialName("text")
    TEXT,

    /** One JSON object for each line. */
    @SerialName("json")
    JSON,
}
