package org.poplarshift.core.quarantine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * A record of the log stream `quarantine`, from which a restarted node restores the strikes that its peers have.
 */
@Serializable
sealed interface QuarantineRecord {
    /** Wall-clock time of the append, in milliseconds since 1970; used for expiry only. */
    val writtenEpochMillis: Long

    /** Workers crashed while requests were in flight. */
    @Serializable
    @SerialName("strikesNoted")
    data class StrikesRecorded(val strikes: List<Strike>, override val writtenEpochMillis: Long) : QuarantineRecord

    /** Suspect requests completed, so that their strikes no longer count. */
    @Serializable
    @SerialName("strikesCleared")
    data class StrikesCleared(val strikes: List<Strike>, override val writtenEpochMillis: Long) : QuarantineRecord
}
