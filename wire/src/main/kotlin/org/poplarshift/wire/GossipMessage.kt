package org.poplarshift.wire

import kotlinx.serialization.Serializable
import org.poplarshift.core.membership.Member
import org.poplarshift.core.membership.MembershipDelta
import org.poplarshift.core.membership.MembershipDigest
import org.poplarshift.core.quarantine.QuarantineUpdate

/**
 * Request and response of `POST /peer/exchange`.
 *
 * The request has the sender's [digest]. The response's [delta] has the entries that the digest lacks, and requests
 * those that the responder lacks. The requester sends these as the [delta] of a second request.
 *
 * @property sender the node that sends this message
 * @property configurationVersion the version in force at the sender
 * @property configurationAgeMillis time since the sender last confirmed that no newer version existed, or null if it
 * never did
 * @property quarantine the newest strikes known to the sender
 */
@Serializable
data class GossipMessage(
    val sender: Member,
    val digest: MembershipDigest = MembershipDigest(emptyMap()),
    val delta: MembershipDelta = MembershipDelta(emptyList()),
    val configurationVersion: Long = -1,
    val configurationAgeMillis: Long? = null,
    val quarantine: QuarantineUpdate = QuarantineUpdate(),
)
