package org.poplarshift.core.membership

import kotlinx.serialization.Serializable

/**
 * Timeouts of the membership protocol.
 *
 * @property lostMillis time without a new heartbeat after which a member counts as lost
 * @property forgetMillis time without a new heartbeat after which an entry is removed
 */
@Serializable
data class MembershipSettings(val lostMillis: Long = 8_000, val forgetMillis: Long = 60_000)
