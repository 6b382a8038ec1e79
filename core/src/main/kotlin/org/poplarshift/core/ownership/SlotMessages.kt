package org.poplarshift.core.ownership

import kotlinx.serialization.Serializable

/** The version of a slot's claim. */
@Serializable
data class SlotVersion(val slot: Slot, val version: Long)

/** A request to a process of the same zone to confirm the claims of [holder]. */
@Serializable
data class SlotConfirmRequest(val holder: String, val claims: List<SlotVersion>)

/**
 * The response of the voter [incarnation] to a [SlotConfirmRequest].
 *
 * @property inLog slots that the voter's last read of the log showed as held by the holder
 * @property readAgeMillis the age of that read at the time of the response, in milliseconds, or null if there was none
 * @property notPromised claims that the voter has not promised to stop confirming
 */
@Serializable
data class SlotConfirmResponse(
    val incarnation: String,
    val inLog: List<SlotVersion>,
    val readAgeMillis: Long?,
    val notPromised: List<SlotVersion>,
)

/** A request to a voter to promise not to confirm [claim] any more. */
@Serializable
data class SlotPromiseRequest(val claimant: String, val claim: SlotVersion)

/** The response of the voter [incarnation] to a [SlotPromiseRequest]. A promise is never revoked. */
@Serializable
data class SlotPromiseResponse(val incarnation: String, val claim: SlotVersion, val promised: Boolean)
