package org.poplarshift.serving.ratelimit

/** Result of asking another node to consume a token. */
sealed interface PeerConsumption {
    /** The node has consumed a token for the request. */
    data object Consumed : PeerConsumption

    /** The nodes together hold less than one token. The first one is expected after [waitMillis]. */
    data class Refused(val waitMillis: Long) : PeerConsumption

    /** The node did not respond. It may have consumed a token, which only lowers the total. */
    data object Unanswered : PeerConsumption
}
