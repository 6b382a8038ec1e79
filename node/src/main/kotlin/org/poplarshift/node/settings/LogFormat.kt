package org.poplarshift.node.settings

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The format of log messages on standard error. */
@Serializable
enum class LogFormat {
    @SerialName("text")
    TEXT,

    /** One JSON object per line. */
    @SerialName("json")
    JSON,
}
