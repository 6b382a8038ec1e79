package org.poplarshift.core.batch

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The phase of a job. */
@Serializable
enum class JobPhase {
    @SerialName("running")
    RUNNING,

    @SerialName("ended")
    ENDED,

    @SerialName("cancelled")
    CANCELLED,
}
