package org.poplarshift.core.quarantine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The response of a node to a [WorkerHold] request. */
@Serializable
sealed interface HoldResponse {
    /**
     * The node has accepted the hold and dispatches no new requests to the worker.
     *
     * @property inFlight the number of requests that the node has dispatched to the worker and that have not ended
     */
    @Serializable
    @SerialName("held")
    data class Held(val inFlight: Int) : HoldResponse

    /** The worker is held for another suspect. */
    @Serializable
    @SerialName("denied")
    data object Denied : HoldResponse
}
