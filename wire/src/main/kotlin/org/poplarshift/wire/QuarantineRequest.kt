package org.poplarshift.wire

import kotlinx.serialization.Serializable
import org.poplarshift.core.quarantine.HoldResponse
import org.poplarshift.core.quarantine.QuarantineUpdate
import org.poplarshift.core.quarantine.WorkerHold

/**
 * Request of `POST /peer/suspects`.
 *
 * @property news strikes that the receiver must record before the caller of a crashed request gets its response
 * @property hold new or renewed hold on a worker that the receiver must keep free
 * @property release hold that ends
 */
@Serializable
data class QuarantineRequest(
    val news: QuarantineUpdate = QuarantineUpdate(),
    val hold: WorkerHold? = null,
    val release: WorkerHold? = null,
)

/** Response of `POST /peer/suspects`, with the result of the requested hold. */
@Serializable
data class QuarantineResponse(val hold: HoldResponse? = null)
