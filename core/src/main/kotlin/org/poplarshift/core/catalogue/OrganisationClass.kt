package org.poplarshift.core.catalogue

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The kinds of work that an organisation may submit. */
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
