package org.poplarshift.core.catalogue

import kotlinx.serialization.Serializable

/**
 * A path of a service upstream that callers may request.
 *
 * @property owner the person or team that is responsible for the entry
 * @property method the HTTP method in upper case
 * @property open whether the route is accessible without a key
 * @property idempotent whether a request may be retried when its outcome is unknown
 * @property organisations the organisations that may use the route; empty means all
 */
@Serializable
data class Route(
    val id: String,
    val owner: String,
    val method: String,
    val pathPrefix: String,
    val upstream: String,
    val open: Boolean = false,
    val idempotent: Boolean = true,
    val organisations: List<String> = emptyList(),
)
