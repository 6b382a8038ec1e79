package org.poplarshift.core.membership

import kotlinx.serialization.Serializable

/** The heartbeats that a node knows, by incarnation; the first half of a push-pull exchange. */
@Serializable
data class MembershipDigest(val heartbeats: Map<String, Long>)

/**
 * The second half of an exchange.
 *
 * @property newer entries that the digest lacked or had older
 * @property wanted incarnations of which the digest had newer entries
 */
@Serializable
data class MembershipDelta(val newer: List<Member>, val wanted: List<String> = emptyList())
