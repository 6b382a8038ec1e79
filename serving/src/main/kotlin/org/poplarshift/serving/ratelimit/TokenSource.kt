package org.poplarshift.serving.ratelimit

import org.poplarshift.core.allowance.TokenDemand
import org.poplarshift.core.allowance.TokenLoan
import org.poplarshift.core.ingress.IngressOrganisation

/** A node that holds the part [share] of an organisation's rate limit. */
data class TokenHolder(val node: String, val share: Double)

/**
 * What a holder has given.
 *
 * @property spent number of waiting requests of the borrower for which the holder has consumed a token
 * @property left number of tokens that the holder has kept
 */
data class TokenGrant(val loan: TokenLoan?, val spent: Int = 0, val left: Double = 0.0)

/** Access to the tokens of the nodes that hold shares. */
interface TokenSource {
    /** Returns the share of this node in the limit of [organisation] at this moment. */
    fun ownShare(organisation: IngressOrganisation): Double

    /** Returns the other nodes that hold a share and are not known to be out of reach. */
    fun holders(organisation: IngressOrganisation): List<TokenHolder>

    /**
     * Asks [node] for a loan of [demand] and for one consumed token for each of [requests] that wait at this node.
     * Returns null if it does not respond.
     */
    suspend fun borrow(node: String, organisation: String, demand: TokenDemand, requests: Int): TokenGrant?
}
