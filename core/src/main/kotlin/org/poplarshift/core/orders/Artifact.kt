package org.poplarshift.core.orders

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Weights that a worker can load: a model or an adapter, at a version. */
@Serializable
data class Artifact(val name: String, val version: String = "", val kind: ArtifactKind = ArtifactKind.MODEL)

/** What an [Artifact] is. */
@Serializable
enum class ArtifactKind {
    @SerialName("model")
    MODEL,

    @SerialName("adapter")
    ADAPTER,
}
