package org.poplarshift.core.allowance

/**
 * Tokens that one node has lent to another, and the schedule by which the room for them returns to the lender.
 *
 * The borrower has room of its own for [transitAmount] tokens, so that the lender keeps room for them only as long as they
 * may be on their way. The room for the other tokens is on loan in full for [holdMillis] and then returns evenly within
 * [returnMillis]. Both nodes follow this schedule without further messages.
 *
 * @property amount number of tokens, including [transitAmount]
 */
data class TokenLoan(val amount: Double, val transitAmount: Double, val holdMillis: Double, val returnMillis: Double) {
    /** Returns the room that is still on loan [elapsedMillis] after the loan was granted. */
    fun remaining(elapsedMillis: Long): Double {
        val transit = if (elapsedMillis <= TRANSIT_MILLIS) transitAmount else 0.0
        val rest = amount - transitAmount
        return transit + when {
            elapsedMillis <= holdMillis -> rest
            elapsedMillis >= holdMillis + returnMillis -> 0.0
            else -> rest * (holdMillis + returnMillis - elapsedMillis) / returnMillis
        }
    }

    companion object {
        /** Longer than the time for which a node waits for a loan. */
        const val TRANSIT_MILLIS = 100L
    }
}
