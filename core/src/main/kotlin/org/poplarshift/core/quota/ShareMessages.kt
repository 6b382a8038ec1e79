package org.poplarshift.core.quota

import kotlinx.serialization.Serializable

/** A request to a slot holder to lend its whole shares of [organisations], or to extend these loans. */
@Serializable
data class ShareRequest(val receiver: String, val organisations: List<String>)

/** The lender's response to a [ShareRequest]; it contains only the shares that are lent. */
@Serializable
data class ShareGrant(val shares: List<LentShare>)

/**
 * A share that the receiver may use, including its refill, until [durationMillis] after it sent the request.
 *
 * @property tokens micro-tokens that come with the share; 0 when a loan is extended
 */
@Serializable
data class LentShare(val organisation: String, val key: ShareKey, val tokens: Long, val durationMillis: Long)
