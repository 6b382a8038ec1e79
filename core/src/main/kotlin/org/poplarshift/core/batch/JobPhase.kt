package org.poplarshift.core.batch

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** How far a job is. */
@Serializable
enum class JobPhase {
    @SerialName("running")
    RUNNING,

    @SerialName("ended")
    ENDED,

    @SerialName("cancelled")
    CANCELLED,
}
