package org.poplarshift.core.quota

/**
 * Amounts of tokens are whole millionths, so that sums are exact and shares of small limits can be lent and combined.
 * One admitted request spends [ONE_TOKEN].
 */
object MicroTokens {
    const val ONE_TOKEN = 1_000_000L
}
