package org.poplarshift.core.ownership

import kotlinx.serialization.Serializable

/** The version of a slot's claim. */
@Serializable
data class SlotVersion(val slot: Slot, val version: Long)

/** Asks a VM of the same zone to confirm the claims of [holder]. */
@Serializable
data class SlotConfirmRequest(val holder: String, val claims: List<SlotVersion>)

/**
 * The answer of the voter [incarnation].
 *
 * @property inLog slots that the voter's last read of the log showed as held by the holder
 * @property readAgeMillis the age of that read when the answer was made, or null when there was none
 * @property notPromised slots that the voter has not promised away
 */
@Serializable
data class SlotConfirmResponse(
    val incarnation: String,
    val inLog: List<SlotVersion>,
    val readAgeMillis: Long?,
    val notPromised: List<SlotVersion>,
)

/** Asks a voter not to confirm [claim] any more. */
@Serializable
data class SlotPromiseRequest(val claimant: String, val claim: SlotVersion)

/** The answer of the voter [incarnation]; a promise is never taken back. */
@Serializable
data class SlotPromiseResponse(val incarnation: String, val claim: SlotVersion, val promised: Boolean)
