package org.poplarshift.core.quarantine

import kotlinx.serialization.Serializable

/**
 * A request of [node] to dispatch no other requests to [worker], so that the suspect [fingerprint] runs there alone.
 */
@Serializable
data class WorkerHold(val worker: String, val node: String, val fingerprint: String)
