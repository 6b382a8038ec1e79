package org.poplarshift.core.orders

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What a worker should hold and do. An order carries the whole state, so that repeating it changes nothing. */
@Serializable
data class DesiredState(val artifacts: Set<Artifact>, val role: WorkerRole = WorkerRole.GENERAL)

/** The part of the work that a worker takes. */
@Serializable
enum class WorkerRole {
    /** Prompts and generation. */
    @SerialName("general")
    GENERAL,

    /** Prompts only; the KV cache goes to a worker with the role [DECODE]. */
    @SerialName("prefill")
    PREFILL,

    /** Generation only. */
    @SerialName("decode")
    DECODE,
}
