package org.poplarshift.core.quarantine

import kotlinx.serialization.Serializable

/**
 * New evidence about prompt parts that a node sends to its peers.
 *
 * @property acquittals parts with strikes that a worker has begun to answer, so that they do not crash workers
 * @property confirmedParts parts that the sender blames; it has seen answers since their first strike
 */
@Serializable
data class PromptPartUpdate(
    val strikes: List<PromptPartStrikeEntry> = emptyList(),
    val acquittals: List<PromptPartAcquittal> = emptyList(),
    val confirmedParts: Set<String> = emptySet(),
) {
    /** Whether the update contains no entries. */
    val isEmpty: Boolean
        get() = strikes.isEmpty() && acquittals.isEmpty() && confirmedParts.isEmpty()

    /** Returns the update with the lifetimes that its entries have after [ageMillis]. */
    fun aged(ageMillis: Long) = copy(
        strikes = strikes.map { it.copy(remainingMillis = it.remainingMillis - ageMillis) },
        acquittals = acquittals.map { it.copy(remainingMillis = it.remainingMillis - ageMillis) },
    )

    /** Returns an update with the entries of both. */
    operator fun plus(other: PromptPartUpdate) = PromptPartUpdate(
        strikes + other.strikes,
        acquittals + other.acquittals,
        confirmedParts + other.confirmedParts,
    )
}

/**
 * Records that [worker] crashed before it had begun to answer [request], whose prompt contains [part].
 *
 * @property request fingerprint of the request
 * @property isRepeated whether the node already knew of another strike of the part when it sent the request
 */
@Serializable
data class PromptPartStrike(val part: String, val worker: String, val request: String, val isRepeated: Boolean = false)

/** A strike with its remaining lifetime in milliseconds. */
@Serializable
data class PromptPartStrikeEntry(val strike: PromptPartStrike, val remainingMillis: Long)

/** Records that a worker has begun to answer a request with [part], with the remaining lifetime in milliseconds. */
@Serializable
data class PromptPartAcquittal(val part: String, val remainingMillis: Long)
