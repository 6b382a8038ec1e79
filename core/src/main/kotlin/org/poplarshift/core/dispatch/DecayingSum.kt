package org.poplarshift.core.dispatch

import kotlin.math.exp

/** A sum whose entries lose their weight exponentially. [windowMillis] is the time constant. */
internal class DecayingSum(private val windowMillis: Double) {
    private var sum = 0.0
    private var updatedMillis = 0L

    /** Adds [amount]. */
    fun add(amount: Double, nowMillis: Long) {
        sum = value(nowMillis) + amount
        updatedMillis = nowMillis
    }

    /** Returns the sum that is left. */
    fun value(nowMillis: Long): Double {
        val elapsedMillis = (nowMillis - updatedMillis).coerceAtLeast(0)
        return if (elapsedMillis == 0L) sum else sum * exp(-elapsedMillis / windowMillis)
    }

    /** Returns the average amount for each millisecond of the window. */
    fun perMilli(nowMillis: Long): Double = value(nowMillis) / windowMillis
}
