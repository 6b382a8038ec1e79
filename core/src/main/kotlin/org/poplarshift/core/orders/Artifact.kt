package org.poplarshift.core.orders

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A version of model or adapter weights that a worker can load. */
@Serializable
data class Artifact(val name: String, val version: String = "", val kind: ArtifactKind = ArtifactKind.MODEL)

/** The kind of an [Artifact]. */
@Serializable
enum class ArtifactKind {
    @SerialName("model")
    MODEL,

    @SerialName("adapter")
    ADAPTER,
}
