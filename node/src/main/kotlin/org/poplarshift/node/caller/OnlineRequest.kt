package org.poplarshift.node.caller

import io.vertx.core.MultiMap
import io.vertx.core.buffer.Buffer
import io.vertx.core.http.HttpMethod
import org.poplarshift.core.catalogue.Organisation
import org.poplarshift.core.catalogue.Upstream
import org.poplarshift.node.dispatch.DispatchTicket

/**
 * A validated request for one upstream, without the caller's key.
 *
 * @property organisation the organisation of the caller, or null on an open route
 * @property path the path with the query
 * @property idempotencyKey the caller's `Idempotency-Key`, or null when the route is idempotent
 * @property digest SHA-256 of the parts that are compared to detect identical requests
 */
data class OnlineRequest(
    val requestId: String,
    val requestClass: RequestClass,
    val organisation: Organisation?,
    val upstream: Upstream,
    val method: HttpMethod,
    val path: String,
    val headers: MultiMap,
    val body: Buffer,
    val isIdempotent: Boolean,
    val idempotencyKey: String?,
    val digest: String,
    val costTokens: Long = 1,
    val prefix: String = "",
) {
    /** The organisation's id, or an empty string on an open route. */
    val organisationId: String get() = organisation?.id.orEmpty()

    /** Returns the dispatch ticket of the request; [excludedWorkers] are not selected. */
    fun ticket(excludedWorkers: Set<String>) = DispatchTicket(
        organisation = organisationId,
        weight = organisation?.weight ?: 1.0,
        costTokens = costTokens,
        fingerprint = digest,
        prefix = prefix,
        excludedWorkers = excludedWorkers,
    )
}
