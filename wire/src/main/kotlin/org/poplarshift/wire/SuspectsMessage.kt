package org.poplarshift.wire

import kotlinx.serialization.Serializable
import org.poplarshift.core.quarantine.HoldResponse
import org.poplarshift.core.quarantine.QuarantineUpdate
import org.poplarshift.core.quarantine.WorkerHold

/**
 * Request of `POST /peer/suspects`.
 *
 * @property news strikes that the receiver must know before a caller of a crashed request gets its response
 * @property hold a worker that the receiver must keep free, placed or renewed
 * @property release a hold that ends
 */
@Serializable
data class SuspectsMessage(
    val news: QuarantineUpdate = QuarantineUpdate(),
    val hold: WorkerHold? = null,
    val release: WorkerHold? = null,
)

/** Response of `POST /peer/suspects`, with the answer to the request's hold. */
@Serializable
data class SuspectsAnswer(val hold: HoldResponse? = null)
