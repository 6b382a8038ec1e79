package org.poplarshift.core.quarantine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * A record of the log stream `quarantine`, from which a restarted node learns what its peers know.
 */
@Serializable
sealed interface QuarantineRecord {
    /** Wall-clock time of the append, in milliseconds since 1970; used for expiry only. */
    val writtenEpochMillis: Long

    /** Workers died with requests in flight. */
    @Serializable
    @SerialName("strikesNoted")
    data class StrikesRecorded(val strikes: List<Strike>, override val writtenEpochMillis: Long) : QuarantineRecord

    /** Suspects have completed. */
    @Serializable
    @SerialName("strikesCleared")
    data class StrikesCleared(val strikes: List<Strike>, override val writtenEpochMillis: Long) : QuarantineRecord
}
