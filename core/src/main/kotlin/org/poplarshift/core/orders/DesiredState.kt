package org.poplarshift.core.orders

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The desired artifacts and role of a worker. An order contains the whole state, so that it is idempotent. */
@Serializable
data class DesiredState(val artifacts: Set<Artifact>, val role: WorkerRole = WorkerRole.GENERAL)

/** The phases of inference that a worker runs. */
@Serializable
enum class WorkerRole {
    /** Prompt processing and token generation. */
    @SerialName("general")
    GENERAL,

    /** Prompt processing only. The KV cache is transferred to a worker with the role [DECODE]. */
    @SerialName("prefill")
    PREFILL,

    /** Token generation only. */
    @SerialName("decode")
    DECODE,
}
