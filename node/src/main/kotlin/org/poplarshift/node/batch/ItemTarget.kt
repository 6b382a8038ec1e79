package org.poplarshift.node.batch

import org.poplarshift.core.catalogue.Upstream

/**
 * The upstream and path that an item is sent to.
 *
 * @property path the path at the upstream
 * @property fingerprint SHA-256 of organisation and canonical body, as for online requests
 */
data class ItemTarget(
    val upstream: Upstream,
    val path: String,
    val isIdempotent: Boolean,
    val costTokens: Long,
    val fingerprint: String,
)
