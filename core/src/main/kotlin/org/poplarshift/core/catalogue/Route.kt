package org.poplarshift.core.catalogue

import kotlinx.serialization.Serializable

/**
 * A path of a plain service that callers may use.
 *
 * @property owner the person or team that answers for the entry
 * @property method the HTTP method in capitals
 * @property open whether callers need no key
 * @property idempotent whether a request may be sent again when its outcome is unknown
 * @property organisations the organisations that may use it; empty means all
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
