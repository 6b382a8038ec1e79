package org.poplarshift.core.quarantine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A node's answer to a [WorkerHold]. */
@Serializable
sealed interface HoldResponse {
    /**
     * The node sends nothing new to the worker.
     *
     * @property inFlight requests that it has sent there and that have not ended
     */
    @Serializable
    @SerialName("held")
    data class Held(val inFlight: Int) : HoldResponse

    /** Another suspect has the worker. */
    @Serializable
    @SerialName("denied")
    data object Denied : HoldResponse
}
