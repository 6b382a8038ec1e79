package org.poplarshift.core.membership

import kotlinx.serialization.Serializable

/** The heartbeats at a node by incarnation: the first message of a push-pull gossip exchange. */
@Serializable
data class MembershipDigest(val heartbeats: Map<String, Long>)

/**
 * The entries that follow a digest in a gossip exchange.
 *
 * @property newer entries that were missing or older in the digest
 * @property wanted incarnations whose entries were newer in the digest
 */
@Serializable
data class MembershipDelta(val newer: List<Member>, val wanted: List<String> = emptyList())
