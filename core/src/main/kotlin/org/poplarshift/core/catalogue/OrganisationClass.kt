package org.poplarshift.core.catalogue

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What an organisation may use. */
@Serializable
enum class OrganisationClass {
    /** Online requests and batch jobs. */
    @SerialName("standard")
    STANDARD,

    /** Online requests only. */
    @SerialName("online")
    ONLINE_ONLY,

    /** Batch jobs only. */
    @SerialName("batch")
    BATCH_ONLY,
}
