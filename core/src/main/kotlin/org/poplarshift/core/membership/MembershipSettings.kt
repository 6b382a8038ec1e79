package org.poplarshift.core.membership

import kotlinx.serialization.Serializable

/**
 * When a member counts as lost.
 *
 * @property lostMillis time without a new heartbeat after which a member is lost
 * @property forgetMillis time without a new heartbeat after which an entry is dropped
 */
@Serializable
data class MembershipSettings(val lostMillis: Long = 8_000, val forgetMillis: Long = 60_000)
