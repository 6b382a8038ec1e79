package org.poplarshift.serving.ratelimit

import kotlinx.serialization.Serializable

/** States that a coordinator holds [held] tokens of [organisation] and has room for [wanted] of another one's. */
@Serializable
data class BalanceRequest(val organisation: String, val wanted: Double, val held: Double)

/** States that a coordinator lends [granted] tokens of [organisation] and has [left] tokens. */
@Serializable
data class BalanceResponse(val organisation: String, val granted: Double, val left: Double)
