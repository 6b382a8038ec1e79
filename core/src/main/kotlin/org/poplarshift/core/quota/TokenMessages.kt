package org.poplarshift.core.quota

import kotlinx.serialization.Serializable

/**
 * A request to a slot holder for tokens. Amounts are micro-tokens.
 *
 * @property holder the incarnation that the request is addressed to; another process with the same address must not
 * handle it, because the settled leases are not its own
 * @property needed the amount for requests that are waiting
 * @property wanted the amount including the expected demand of the next requests; at least [needed]
 * @property settled ended leases that this holder granted
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
 * A lease from which the receiver no longer spends.
 *
 * @property returned the unspent amount
 */
@Serializable
data class SettledLease(val leaseId: Long, val returned: Long = 0)

/**
 * The lender's response to a [TokenRequest].
 *
 * @property lease the granted tokens, or null if there are none
 * @property surplus the amount that the lender has left
 * @property isLeaving whether the lender no longer grants tokens
 */
@Serializable
data class TokenGrant(val lease: TokenLease?, val surplus: Long, val isLeaving: Boolean = false)

/**
 * Tokens that the receiver may spend until [durationMillis] after it sent the request.
 *
 * @property leaseId unique within the lender's incarnation
 */
@Serializable
data class TokenLease(val leaseId: Long, val amount: Long, val durationMillis: Long)
