package org.poplarshift.core.batch

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The recorded outcome of an item. Items of a cancelled job without a recorded outcome are cancelled. */
@Serializable
enum class ItemOutcome {
    @SerialName("done")
    DONE,

    @SerialName("failed")
    FAILED,
}
