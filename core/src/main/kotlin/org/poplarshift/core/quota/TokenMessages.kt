package org.poplarshift.core.quota

import kotlinx.serialization.Serializable

/**
 * Asks a slot holder for tokens. Amounts are micro-tokens.
 *
 * @property holder the incarnation that is asked; a process that has taken over its address must not answer, because
 * the settled leases aren't its own
 * @property needed for requests that wait now
 * @property wanted including what the next requests are expected to need; at least [needed]
 * @property settled leases of this giver that have ended
 */
@Serializable
data class TokenRequest(
    val holder: String,
    val organisation: String,
    val needed: Long,
    val wanted: Long,
    val settled: List<SettledLease> = emptyList(),
)

/**
 * A lease that its receiver will not spend from any more.
 *
 * @property returned what was not spent
 */
@Serializable
data class SettledLease(val leaseId: Long, val returned: Long = 0)

/**
 * The giver's answer.
 *
 * @property lease the tokens, or null when there are none
 * @property surplus what the giver has left
 * @property isLeaving whether the giver gives no more tokens
 */
@Serializable
data class TokenGrant(val lease: TokenLease?, val surplus: Long, val isLeaving: Boolean = false)

/**
 * Tokens that the receiver may spend until [durationMillis] after it sent the request.
 *
 * @property leaseId unique at the giver's incarnation
 */
@Serializable
data class TokenLease(val leaseId: Long, val amount: Long, val durationMillis: Long)
