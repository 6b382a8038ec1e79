package org.poplarshift.core.allowance

/**
 * A request of one coordinator for tokens that another one holds.
 *
 * @property wanted number of tokens for which the borrower has use
 * @property needed the part of [wanted] without which a waiting request can't be admitted
 * @property held number of tokens that the borrower holds
 * @property room number of tokens for which the borrower has room within its own share
 */
data class TokenDemand(val wanted: Double, val needed: Double = 0.0, val held: Double = 0.0, val room: Double = 0.0)
