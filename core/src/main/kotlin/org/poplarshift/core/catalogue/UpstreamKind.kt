package org.poplarshift.core.catalogue

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The kind of the workers of an upstream. */
@Serializable
enum class UpstreamKind {
    /** Model engines that serve the completions API. */
    @SerialName("model")
    MODEL,

    /** HTTP services that are accessible through the routes of the catalogue. */
    @SerialName("service")
    SERVICE,
}
