package org.poplarshift.core.catalogue

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What the workers of an upstream are. */
@Serializable
enum class UpstreamKind {
    /** Model engines with the completions API. */
    @SerialName("model")
    MODEL,

    /** Plain HTTP services, reached by the routes of the catalogue. */
    @SerialName("service")
    SERVICE,
}
