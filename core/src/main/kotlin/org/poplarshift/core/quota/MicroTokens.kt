package org.poplarshift.core.quota

/**
 * The unit of token amounts. Amounts are whole millionths of a token, so that sums are exact and shares of small limits
 * can be lent and combined. An admitted request spends [ONE_TOKEN].
 */
object MicroTokens {
    const val ONE_TOKEN = 1_000_000L
}
